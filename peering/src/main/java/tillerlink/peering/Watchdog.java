package tillerlink.peering;

import java.util.function.Supplier;
import tillerlink.cluster.Invariant;

/**
 * Ends the process when a part breaks its own rules: where the invariants are on, one line tells
 * which, and nothing that may be wrong by then reaches anybody. Where they are off, a fault costs
 * what it was in the middle of, as elsewhere in the gateway.
 */
final class Watchdog {
  static final int EXIT = 70;

  void run(Runnable what) {
    get(
        () -> {
          what.run();
          return null;
        });
  }

  <T> T get(Supplier<T> what) {
    try {
      return what.get();
    } catch (Invariant.Broken e) {
      throw end(e.getMessage(), e);
    } catch (RuntimeException e) {
      if (!Invariant.ENABLED) {
        throw e;
      }
      throw end("an internal fault: " + e, e);
    }
  }

  private static IllegalStateException end(String words, Throwable why) {
    System.err.println("INVARIANT " + words.replaceAll("\\s*\\R\\s*", " "));
    why.printStackTrace();
    Runtime.getRuntime().halt(EXIT);
    return new IllegalStateException("not reached");
  }
}
