package tillerlink.fleet;

/**
 * A fault or an operation at a set time of a replay. Times are tenths of a millisecond.
 *
 * @param whom the name of an engine, or of a gateway: n0, n1, and so on
 * @param lasts how long, where it passes; how long a drained engine goes on, or a killed gateway
 *     stays down
 * @param factor how many times slower
 */
public record ScheduledFault(long at, What what, String whom, long lasts, double factor) {
  /** What happens; the operator's file names it by the constant. */
  public enum What {
    /** Everything that runs on the engine takes that many times as long. */
    SLOW,
    /** The engine is cut off, and comes back as it was. */
    SILENT,
    /** The engine's process ends: connections are reset, discovery reports it after a while. */
    GONE,
    /** Discovery reports the engine as draining; it refuses new work, and ends. */
    DRAINED,
    /** The engine drains and ends, and one of another name, warming up, takes its place. */
    REPLACED,
    /** A gateway is killed without warning, and started again. */
    KILLED
  }
}
