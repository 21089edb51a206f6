package tillerlink.trace;

import java.io.IOException;

/** A stream of tasks. */
@FunctionalInterface
public interface TaskSource {
  /** Returns the next task, or null at the end. */
  Task next() throws IOException;
}
