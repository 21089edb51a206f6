package tillerlink.fleet;

/**
 * A fault or an operation at a set time of a replay. Times are tenths of a millisecond.
 *
 * @param at the time since the start of the replay
 * @param whom the name of an engine, or of a gateway: n0, n1, and so on
 * @param lasts the duration of a temporary fault, the time that a draining engine continues to run,
 *     or the time that a killed gateway is down
 * @param factor the factor by which a slow engine takes longer
 */
public record ScheduledFault(long at, What what, String whom, long lasts, double factor) {
  /** The kind of a fault or operation. The operator's file uses the names of the constants. */
  public enum What {
    /** All work on the engine takes longer by the factor. */
    SLOW,
    /**
     * The network to the engine is cut; the engine keeps its state and is reachable again later.
     */
    SILENT,
    /**
     * The engine's process ends: its connections are reset, and the discovery service reports it
     * after a delay.
     */
    GONE,
    /**
     * The discovery service reports the engine as draining; the engine refuses new work and ends
     * later.
     */
    DRAINED,
    /** The engine drains and ends, and a cold engine with another name replaces it. */
    REPLACED,
    /** A gateway is killed without warning and started again later. */
    KILLED
  }
}
