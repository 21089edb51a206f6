package tillerlink.workload;

import java.util.List;
import tillerlink.model.Effect;
import tillerlink.trace.Layout;

/**
 * A request class of the replayed fleet, and which rows of a trace become its requests.
 *
 * @param width threads of one request
 * @param latencyObjective tenths of a millisecond, as is deadline
 * @param kinds the kinds of engine that it is bound to, or an empty list for all
 * @param window how long engines remember an idempotency key, in tenths of a millisecond
 * @param median what the median of its tasks' work is scaled to, in tenths of a millisecond on one
 *     core
 * @param rows tests of a row that must all hold; without tests it takes every row that no earlier
 *     request class took
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
   * The most work of a request: beyond this much work a request could hardly be answered within its
   * latency objective on an idle engine.
   */
  public double maxWork() {
    return (double) latencyObjective * width / OBJECTIVE_PER_WORK;
  }

  /** The value for its effect in the gateway's settings. */
  public String semantics() {
    return switch (effect) {
      case PURE -> "repeatable";
      case RECEIPTED -> "by_key";
      case EFFECTFUL -> "once";
    };
  }
}
