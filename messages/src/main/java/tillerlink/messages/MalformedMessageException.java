package tillerlink.messages;

/** Signals bytes that are not a valid message, or a field with an invalid value. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception; {@code description} states what is malformed. */
  public MalformedMessageException(String description) {
    super(description);
  }
}
