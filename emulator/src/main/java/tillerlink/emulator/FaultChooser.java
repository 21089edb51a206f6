package tillerlink.emulator;

/**
 * A source of decisions on faults. It is asked at each point of a history at which a fault is
 * possible.
 */
@FunctionalInterface
public interface FaultChooser {
  /** A chooser that injects no faults. */
  FaultChooser NONE = (point, options) -> 0;

  /**
   * Chooses what happens at a point of the history.
   *
   * @param point the name of the point, which identifies the kind of event
   * @param options the number of choices, including that of no fault
   * @return 0 for no fault, or the number of the fault, below {@code options}
   */
  int choose(String point, int options);
}
