package tillerlink.trace;

/**
 * A task of a trace, as the cluster ran it. Times are tenths of a millisecond of the trace.
 *
 * @param start the start time
 * @param span the run time
 * @param cores the number of cores that the task requested or used
 * @param memory the memory as a share of a machine's memory or in GB, depending on the layout; used
 *     for scaling only
 * @param job a hash of the job that the task belongs to
 * @param owner a hash of the user that the task belongs to
 * @param number the number of the task in the order of the file; breaks ties between start times
 * @param kind the index of the request class that the task is mapped to, or -1
 * @param rows the number of rows of the file that describe the task
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
  /** Returns the work on all cores, as tenths of a millisecond on one core. */
  public double work() {
    return span * cores;
  }

  /** Returns whether this task is before another one, by start time and then by number. */
  public boolean before(Task other) {
    return start < other.start || (start == other.start && number < other.number);
  }
}
