package tillerlink.replay;

import java.io.IOException;

/** Too many rows of a trace are bad, or none is of use. */
public final class BadTraceException extends IOException {
  private static final long serialVersionUID = 1L;

  public BadTraceException(String message) {
    super(message);
  }
}
