package tillerlink.peering.json;

/** The body of a client's request can't be used; the message says why, in words for the client. */
public final class MalformedRequestException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  /** A body that is not of the wanted form. */
  public MalformedRequestException(String message) {
    super(message);
  }

  /** A body that can't be parsed. */
  public MalformedRequestException(String message, Throwable cause) {
    super(message, cause);
  }

  /** Throws unless the condition holds. */
  public static void require(boolean condition, String message) {
    if (!condition) {
      throw new MalformedRequestException(message);
    }
  }
}
