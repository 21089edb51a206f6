package tillerlink.peering;

import java.util.function.Supplier;
import tillerlink.cluster.Invariant;

/**
 * Ends the process when a component violates an invariant. If invariant checks are enabled, a
 * violation or an unexpected exception writes one line to standard error and halts the process at
 * once, so that no possibly wrong data leaves it. If they are disabled, an exception is rethrown
 * and fails only the current operation.
 */
final class Watchdog {
  /** The exit code of a process that the watchdog ended. */
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

  /**
   * Halts the process and never returns. The return type lets callers write {@code throw}, so that
   * the compiler knows that the call does not complete.
   */
  private static IllegalStateException halt(String message, Throwable cause) {
    System.err.println("INVARIANT " + message.replaceAll("\\s*\\R\\s*", " "));
    cause.printStackTrace();
    Runtime.getRuntime().halt(EXIT_CODE);
    return new IllegalStateException("not reached");
  }
}
