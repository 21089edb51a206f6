package tillerlink.replay;

import java.io.IOException;

/** Too many rows of a trace are bad, or none is usable. */
public final class InvalidTraceException extends IOException {
  private static final long serialVersionUID = 1L;

  /** An exception with that message. */
  public InvalidTraceException(String message) {
    super(message);
  }
}
