package tillerlink.peering;

import java.util.function.Supplier;
import tillerlink.cluster.Invariant;

/**
 * Ends the process when a component violates an invariant. Where invariants are checked, one line
 * on standard error names it, and nothing that may be wrong by then reaches anybody. Where they are
 * not, an exception is passed on, and fails only what was being done.
 */
final class Watchdog {
  /** The exit code of a process that it ended. */
  static final int EXIT_CODE = 70;

  void run(Runnable action) {
    get(
        () -> {
          action.run();
          return null;
        });
  }

  <T> T get(Supplier<T> action) {
    try {
      return action.get();
    } catch (Invariant.Broken e) {
      throw halt(e.getMessage(), e);
    } catch (RuntimeException e) {
      if (!Invariant.ENABLED) {
        throw e;
      }
      throw halt("an internal fault: " + e, e);
    }
  }

  /** Never returns; the return type lets callers throw. */
  private static IllegalStateException halt(String message, Throwable cause) {
    System.err.println("INVARIANT " + message.replaceAll("\\s*\\R\\s*", " "));
    cause.printStackTrace();
    Runtime.getRuntime().halt(EXIT_CODE);
    return new IllegalStateException("not reached");
  }
}
