package tillerlink.messages;

/** Bytes are no message, or a field of it can't be used. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Makes an exception; {@code what} says what is malformed. */
  public MalformedMessageException(String what) {
    super(what);
  }
}
