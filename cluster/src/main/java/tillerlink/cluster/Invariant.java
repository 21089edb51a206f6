package tillerlink.cluster;

import java.util.function.Supplier;

/**
 * Run-time checks of invariants, placed next to the state that they guard. They are enabled in
 * tests, in simulations and in processes started by the test harness ({@code
 * -Dtillerlink.invariants=true}), and disabled otherwise.
 */
public final class Invariant {
  /** True if invariants are checked in this process. */
  public static final boolean ENABLED = Boolean.getBoolean("tillerlink.invariants");

  /**
   * Thrown if an invariant does not hold. It indicates a bug in the program; no external input may
   * cause it.
   */
  public static final class Broken extends AssertionError {
    private static final long serialVersionUID = 1L;

    Broken(String description) {
      super("invariant broken: " + description);
    }
  }

  private Invariant() {}

  /**
   * Checks an invariant if checks are enabled.
   *
   * @param condition true if the invariant holds
   * @param description describes the violation; evaluated only if the condition is false
   * @throws Broken if checks are enabled and the condition is false
   */
  public static void holds(boolean condition, Supplier<String> description) {
    if (ENABLED && !condition) {
      throw new Broken(description.get());
    }
  }
}
