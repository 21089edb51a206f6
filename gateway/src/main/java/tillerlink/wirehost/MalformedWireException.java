package tillerlink.wirehost;

/** What came in is not what the wire allows; the message says where and why. */
public final class MalformedWireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MalformedWireException(String message) {
    super(message);
  }
}
