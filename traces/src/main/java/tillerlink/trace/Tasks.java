package tillerlink.trace;

import java.io.IOException;

/** Tasks, one after the other. */
@FunctionalInterface
public interface Tasks {
  /** The next, or null when there are no more. */
  Task next() throws IOException;
}
