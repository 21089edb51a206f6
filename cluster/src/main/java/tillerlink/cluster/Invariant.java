package tillerlink.cluster;

import java.util.function.Supplier;

/**
 * Checks that stand next to the state they guard. They are on in tests, in virtual time and in
 * processes that a rig starts ({@code -Dtillerlink.invariants=true}), and off otherwise.
 */
public final class Invariant {
  public static final boolean ENABLED = Boolean.getBoolean("tillerlink.invariants");

  /**
   * An invariant does not hold: a fault of the program, which nothing that comes from outside may
   * bring about.
   */
  public static final class Broken extends AssertionError {
    private static final long serialVersionUID = 1L;

    Broken(String what) {
      super("invariant broken: " + what);
    }
  }

  private Invariant() {}

  /**
   * @param what told only if it does not hold
   */
  public static void holds(boolean condition, Supplier<String> what) {
    if (ENABLED && !condition) {
      throw new Broken(what.get());
    }
  }
}
