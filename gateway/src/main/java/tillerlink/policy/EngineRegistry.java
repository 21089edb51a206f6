package tillerlink.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.SlidingSum;

/**
 * The engines that the decisions know: those on the endpoint list, and those that left it while
 * attempts are still in flight there. Used by the event loop alone.
 */
final class EngineRegistry {
  /** Slices of the sums over a sliding period. */
  static final int SUM_SLICES = 50;

  /** Successes and failures fade over so many of the largest latency objective. */
  private static final double RECORD_OBJECTIVES = 4.0;

  private final PolicyConfig config;
  private final List<Engine> engines = new ArrayList<>();
  private final List<Engine> readOnly = Collections.unmodifiableList(engines);

  EngineRegistry(PolicyConfig config) {
    this.config = config;
  }

  /** The engines in the order in which they became known. */
  List<Engine> engines() {
    return readOnly;
  }

  /**
   * Takes in an update of the endpoint list.
   *
   * @param whole engines without an entry are gone
   */
  void update(boolean whole, List<EndpointUpdate> entries) {
    if (whole) {
      engines.forEach(engine -> engine.status = Status.GONE);
    }
    for (EndpointUpdate entry : entries) {
      update(entry);
    }
    engines.removeIf(this::unregisterIfUnused);
  }

  private void update(EndpointUpdate entry) {
    Engine engine = entry.engine();
    if (!engine.isRegistered()) {
      initialize(engine);
      engine.setRegistered(true);
      engines.add(engine);
    }
    if (entry.startedAt() != engine.startedAt) {
      engine.resetHistory(ConcurrencyLimiter.INITIAL_FACTOR);
    }
    engine.kind = entry.kind();
    engine.zone = entry.zone();
    engine.cell = entry.cell();
    engine.status = entry.status();
    engine.startedAt = entry.startedAt();
    engine.trust = entry.trust();
  }

  private boolean unregisterIfUnused(Engine engine) {
    engine.setRegistered(engine.status != Status.GONE || !engine.inFlight.isEmpty());
    return !engine.isRegistered();
  }

  private void initialize(Engine engine) {
    double recordTime = config.maxLatencyObjective * RECORD_OBJECTIVES;
    engine.startCounting(
        config.requestClasses.size(),
        recordTime,
        (double) config.maxLatencyObjective,
        new SlidingSum(Math.max(1, config.slowStartPeriod), SUM_SLICES),
        ConcurrencyLimiter.INITIAL_FACTOR);
  }
}
