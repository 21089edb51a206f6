package tillerlink.net.wire;

/**
 * Signals received bytes that violate their protocol. The message states the violation, for a log
 * line or the response to the client.
 */
public final class MalformedProtocolException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  MalformedProtocolException(String message) {
    super(message);
  }

  MalformedProtocolException(String message, Throwable cause) {
    super(message, cause);
  }
}
