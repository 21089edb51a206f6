package tillerlink.peering.json;

/** Indicates an invalid client request; the message gives the reason and is sent to the client. */
public final class MalformedRequestException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception for a request that does not have the expected form. */
  public MalformedRequestException(String message) {
    super(message);
  }

  /** Creates an exception for a body that can't be parsed. */
  public MalformedRequestException(String message, Throwable cause) {
    super(message, cause);
  }

  /**
   * Checks a condition on a request.
   *
   * @throws MalformedRequestException if the condition is false
   */
  public static void require(boolean condition, String message) {
    if (!condition) {
      throw new MalformedRequestException(message);
    }
  }
}
