package tillerlink.wirehost;

/** The input is not what the simulator's wire allows; the message says where and why. */
public final class MalformedWireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MalformedWireException(String message) {
    super(message);
  }
}
