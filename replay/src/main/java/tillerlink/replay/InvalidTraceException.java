package tillerlink.replay;

import java.io.IOException;

/** Thrown if a trace has too many bad rows, no usable row, or cannot be scaled to the load. */
public final class InvalidTraceException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message. */
  public InvalidTraceException(String message) {
    super(message);
  }
}
