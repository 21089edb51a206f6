package tillerlink.fleet;

/**
 * Something that goes wrong, or is done, at a set time of a replay. Times are tenths of a
 * millisecond.
 *
 * @param whom an engine's name, or a gateway's: n0, n1, and so on
 * @param lasts how long, where it passes; how long a drained engine goes on, a killed gateway stays
 *     away
 * @param factor how many times slower
 */
public record Trouble(long at, What what, String whom, long lasts, double factor) {
  /** What it is. */
  public enum What {
    /** All that runs there takes that many times as long. */
    SLOW,
    /** It says nothing, nothing reaches it, and it comes back as it was. */
    SILENT,
    /** Its process ends: connections are reset, the list tells it after a while. */
    GONE,
    /** The list says that it drains; it refuses new work, and ends. */
    DRAINED,
    /** It drains and ends, and one of another name takes its place, cold. */
    REPLACED,
    /** A gateway is killed outright, and started anew. */
    KILLED
  }
}
