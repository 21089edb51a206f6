package tillerlink.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.SlidingSum;

/**
 * Registry of the engines that the policy knows: those on the endpoint list, and those that have
 * left it while attempts are still in flight there. Used only by the event loop's thread.
 */
final class EngineRegistry {
  /** Number of slices of a sum over a sliding period. */
  static final int SUM_SLICES = 50;

  /** Time over which successes and failures fade, in multiples of the largest latency objective. */
  private static final double OUTCOME_FADE_OBJECTIVES = 4.0;

  private final PolicyConfig config;
  private final List<Engine> engines = new ArrayList<>();
  private final List<Engine> unmodifiableEngines = Collections.unmodifiableList(engines);

  EngineRegistry(PolicyConfig config) {
    this.config = config;
  }

  /** Returns an unmodifiable view of the engines, in the order in which they became known. */
  List<Engine> engines() {
    return unmodifiableEngines;
  }

  /**
   * Applies an update of the endpoint list.
   *
   * @param complete whether the update contains all engines, so that those without an entry have
   *     left the list
   * @param entries the new state of engines
   */
  void update(boolean complete, List<EndpointUpdate> entries) {
    if (complete) {
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
    double outcomeFadeTime = config.maxLatencyObjective * OUTCOME_FADE_OBJECTIVES;
    engine.startCounting(
        config.requestClasses.size(),
        outcomeFadeTime,
        (double) config.maxLatencyObjective,
        new SlidingSum(Math.max(1, config.slowStartPeriod), SUM_SLICES),
        ConcurrencyLimiter.INITIAL_FACTOR);
  }
}
