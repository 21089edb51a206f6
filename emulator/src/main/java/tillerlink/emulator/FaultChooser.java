package tillerlink.emulator;

/** Chooses, at each point of a history at which a fault is possible, whether one happens. */
@FunctionalInterface
public interface FaultChooser {
  /** Never a fault. */
  FaultChooser NONE = (point, options) -> 0;

  /**
   * Chooses at one point.
   *
   * @param point the name of the point
   * @param options how many choices there are
   * @return 0 for no fault, else the number of a fault
   */
  int choose(String point, int options);
}
