package tillerlink.net.wire;

/**
 * Received bytes are not what their protocol allows. The message says why, for a log line or the
 * client's response.
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
