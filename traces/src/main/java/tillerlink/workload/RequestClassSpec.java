package tillerlink.workload;

import java.util.List;
import tillerlink.model.Effect;
import tillerlink.trace.Layout;

/**
 * A request class of a replay, and the rows of a trace that become its requests.
 *
 * @param name the name of the request class
 * @param effect the effect of executing a request a second time
 * @param width the number of threads of one request
 * @param latencyObjective the latency objective, in tenths of a millisecond
 * @param deadline the deadline, in tenths of a millisecond
 * @param value the value of a response within the latency objective
 * @param lateValue the value of a response after the latency objective and within the deadline
 * @param kinds the engine kinds that the requests are restricted to; empty if all are allowed
 * @param window the time that engines remember an idempotency key, in tenths of a millisecond
 * @param median the value that the median of the tasks' work is scaled to, in tenths of a
 *     millisecond on one core
 * @param rows the tests that a row must pass; a request class without tests gets every row that no
 *     earlier request class matches
 */
public record RequestClassSpec(
    String name,
    Effect effect,
    int width,
    long latencyObjective,
    long deadline,
    double value,
    double lateValue,
    List<String> kinds,
    long window,
    double median,
    List<Layout.Test> rows) {
  private static final int OBJECTIVE_PER_WORK = 2;

  /**
   * Returns the maximum work of a request, in tenths of a millisecond on one core. A request with
   * more work could hardly be answered within its latency objective, even on an idle engine.
   */
  public double maxWork() {
    return (double) latencyObjective * width / OBJECTIVE_PER_WORK;
  }

  /** Returns the name of the effect in the gateway's settings. */
  public String semantics() {
    return switch (effect) {
      case PURE -> "repeatable";
      case RECEIPTED -> "by_key";
      case EFFECTFUL -> "once";
    };
  }
}
