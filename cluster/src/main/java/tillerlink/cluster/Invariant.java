package tillerlink.cluster;

import java.util.function.Supplier;

/**
 * Checks of invariants next to the state that they guard. They are enabled in tests, in simulations
 * and in processes started by the test harness ({@code -Dtillerlink.invariants=true}), and disabled
 * otherwise.
 */
public final class Invariant {
  /** Whether invariants are checked in this process. */
  public static final boolean ENABLED = Boolean.getBoolean("tillerlink.invariants");

  /** An invariant does not hold: a fault of the program, which no input from outside may cause. */
  public static final class Broken extends AssertionError {
    private static final long serialVersionUID = 1L;

    Broken(String description) {
      super("invariant broken: " + description);
    }
  }

  private Invariant() {}

  /**
   * Checks an invariant, if checks are enabled.
   *
   * @param condition whether the invariant holds
   * @param description evaluated only if it does not hold
   * @throws Broken if it does not hold
   */
  public static void holds(boolean condition, Supplier<String> description) {
    if (ENABLED && !condition) {
      throw new Broken(description.get());
    }
  }
}
