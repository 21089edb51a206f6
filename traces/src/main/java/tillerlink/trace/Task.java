package tillerlink.trace;

/**
 * One piece of work of a trace, as the cluster ran it. Times are tenths of a millisecond of the
 * trace.
 *
 * @param start when it began
 * @param span how long it ran
 * @param cores how many cores it asked for or used
 * @param memory what share of a machine's memory, or how many GB, as the layout has it; for scale
 *     only
 * @param job a hash of the job that it belongs to
 * @param owner a hash of the user that it belongs to
 * @param number counts the tasks of a trace in the order of the file; breaks ties
 * @param kind index of the request class that it is mapped to, or -1
 * @param rows how many rows of the file describe it
 */
public record Task(
    long start,
    long span,
    double cores,
    double memory,
    long job,
    long owner,
    long number,
    int kind,
    int rows) {
  /** The work of all its cores, as time on one, in tenths of a millisecond. */
  public double work() {
    return span * cores;
  }

  /** Whether it comes first in the order of start and place in the file. */
  public boolean before(Task other) {
    return start < other.start || (start == other.start && number < other.number);
  }
}
