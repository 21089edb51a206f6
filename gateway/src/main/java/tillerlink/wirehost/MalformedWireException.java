package tillerlink.wirehost;

/**
 * Signals input that violates the format of the simulator's wire. The message contains the position
 * and the reason.
 */
public final class MalformedWireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MalformedWireException(String message) {
    super(message);
  }
}
