package tillerlink.messages;

/** Bytes that are no message, or one with a field that can't be used. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String what) {
    super(what);
  }
}
