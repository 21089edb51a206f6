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
 * @param owner a hash of whose it was
 * @param number counts the tasks of a trace in the order of the file; decides ties
 * @param kind place of the request class that the mapping gave it
 * @param rows how many rows of the file tell it
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
  /** Work of all its cores, as time on one, in tenths of a millisecond. */
  public double work() {
    return span * cores;
  }

  public boolean before(Task other) {
    return start < other.start || start == other.start && number < other.number;
  }
}
