package tillerlink.trace;

import java.io.IOException;

/** A source from which tasks are read one after the other. */
@FunctionalInterface
public interface TaskSource {
  /**
   * Returns the next task.
   *
   * @return null at the end
   * @throws IOException if reading fails
   */
  Task next() throws IOException;
}
