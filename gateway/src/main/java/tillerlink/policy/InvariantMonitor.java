package tillerlink.policy;

import java.util.Collections;
import java.util.EnumSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import tillerlink.model.Attempt;
import tillerlink.model.Effect;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.Request;
import tillerlink.model.RequestClassConfig;
import tillerlink.model.RequestOutcome;
import tillerlink.model.Settings;
import tillerlink.model.SlidingSum;
import tillerlink.plain.Units;

/**
 * Checks what was written, by when its first byte went out and not by what was decided, and shares
 * no state with the guard. It finds violations that are certain; what only might be one (a drain of
 * which this process has not heard) can be seen from outside alone. Times are tenths of a
 * millisecond.
 */
public final class InvariantMonitor {
  /** What a rule on sockets allows beyond its limit. */
  private static final long SLACK = 50 * Units.TENTHS_PER_MS;

  private static final long ANSWER_SLACK = 500 * Units.TENTHS_PER_MS;
  private static final long DISCONNECT_SLACK = 100 * Units.TENTHS_PER_MS;
  private static final long LIMIT_SLACK = 150 * Units.TENTHS_PER_MS;
  private static final double BUDGET_SLACK = 1.15;
  private static final int SUM_SLICES = 50;

  /** For longer nothing that was decided before is on its way to an engine that is gone. */
  private static final long FORGET_GONE_ENGINE_AFTER = 60_000 * Units.TENTHS_PER_MS;

  /**
   * An attempt that was written.
   *
   * @param firstByteAt when its first byte went out
   * @param before when the guard wanted it out by
   * @param limit how long the engine was told that the client waits
   */
  public record Written(Attempt attempt, long firstByteAt, long writeBefore, long limit) {}

  private final long grace;
  private final long budgetPeriod;
  private final double budgetFloor;
  private final double budgetRatio;
  private final long slowStartPeriod;
  private final double slowStartMultiple;
  private final double startCapacity;
  private final long warmupTime;
  private final Settings settings;
  private final SlidingSum requests;
  private final SlidingSum retries;
  private final Set<Engine> ready = Collections.newSetFromMap(new IdentityHashMap<>());
  private final IdentityHashMap<Engine, Long> notReadySince = new IdentityHashMap<>();
  private final IdentityHashMap<Engine, SlidingSum> workWritten = new IdentityHashMap<>();
  private double totalWork;
  private long writtenAttempts;

  /**
   * @param settings as the policy has them
   */
  public InvariantMonitor(Settings settings) {
    this.settings = settings;
    grace = settings.number("guarantees.drain_grace", 0);
    budgetPeriod = settings.number("guarantees.budget_span", 0);
    budgetFloor = settings.amount("guarantees.extra_floor", 0);
    budgetRatio = settings.amount("guarantees.further_ratio", 0);
    slowStartPeriod = settings.number("guarantees.fall", 0);
    slowStartMultiple = settings.amount("guarantees.fall_multiple", 1);
    startCapacity = settings.amount("guarantees.start_capacity", 1);
    warmupTime = settings.number("guarantees.warm_within", 0);
    requests = new SlidingSum(Math.max(1, budgetPeriod), SUM_SLICES);
    retries = new SlidingSum(Math.max(1, budgetPeriod), SUM_SLICES);
  }

  /** A request was accepted. */
  public void onRequestAccepted(long now) {
    requests.add(now, 1);
  }

  /** The list was told; {@code whole} means that engines not in it are gone. */
  public void onEndpointsChanged(long now, boolean whole, List<EndpointUpdate> entries) {
    if (whole) {
      ready.forEach(engine -> notReadySince.putIfAbsent(engine, now));
      ready.clear();
    }
    for (EndpointUpdate entry : entries) {
      if (entry.status() == Status.READY) {
        ready.add(entry.engine());
        notReadySince.remove(entry.engine());
      } else {
        ready.remove(entry.engine());
        notReadySince.putIfAbsent(entry.engine(), now);
      }
    }
    notReadySince
        .entrySet()
        .removeIf(
            entry ->
                entry.getKey().status == Status.GONE
                    && now > entry.getValue() + FORGET_GONE_ENGINE_AFTER);
    workWritten.keySet().retainAll(ready);
  }

  /** A final answer became ready. */
  public Set<Invariant> checkAnswer(long now, Request request) {
    return now > request.clientDeadline + ANSWER_SLACK
        ? EnumSet.of(Invariant.ANSWER_IN_TIME)
        : Set.of();
  }

  /** An attempt was written; what that broke. */
  public Set<Invariant> checkWritten(Written written) {
    EnumSet<Invariant> broken = EnumSet.noneOf(Invariant.class);
    Attempt attempt = written.attempt;
    Request request = attempt.request;
    long at = written.firstByteAt;
    attempt.writtenAt = at;
    if (request.requestClass == null) {
      // A policy that knows no request classes, as those that others are measured against: it has
      // no terms
      // to hold it to.
      return broken;
    }
    addIf(
        broken,
        Invariant.CLIENT_WAITS,
        (request.outcome == RequestOutcome.CLIENT_DISCONNECTED
                && at > request.disconnectedAt + DISCONNECT_SLACK)
            || at > request.clientDeadline + SLACK);
    addIf(
        broken,
        Invariant.LIMIT,
        written.limit > Math.max(0, request.clientDeadline - at) + LIMIT_SLACK);
    addIf(broken, Invariant.SINGLE_EFFECT, runsTwice(attempt, at));
    addIf(
        broken,
        Invariant.DRAIN,
        at
            > notReadySince.getOrDefault(attempt.engine, Long.MAX_VALUE - grace - SLACK)
                + grace
                + SLACK);
    addIf(broken, Invariant.WRITE_IN_TIME, at > written.writeBefore + SLACK);
    addIf(
        broken,
        Invariant.ORDER,
        request.ordered()
            && request.keyQueue.firstUnfinished() != request
            && request.outcome == null);
    addIf(broken, Invariant.PLACEMENT, !request.requestClass.config.allows(attempt.engine));
    addIf(broken, Invariant.RETRY_BUDGET, exceedsBudget(attempt, at));
    addIf(broken, Invariant.SLOW_START, overloadsWarmingEngine(attempt, at));
    return broken;
  }

  private static void addIf(Set<Invariant> broken, Invariant which, boolean isBroken) {
    if (isBroken) {
      broken.add(which);
    }
  }

  private static boolean runsTwice(Attempt attempt, long at) {
    RequestClassConfig terms = attempt.request.requestClass.config;
    if (terms.effect() == Effect.PURE) {
      return false;
    }
    for (Attempt other : attempt.request.attempts) {
      if (other == attempt || other.writtenAt == 0 || !other.mayHaveRun()) {
        continue;
      }
      if (terms.effect() == Effect.EFFECTFUL
          || !terms.deduplicationGroup().covers(other.engine, attempt.engine)
          || at > other.writtenAt + terms.deduplicationWindow() + SLACK) {
        return true;
      }
    }
    return false;
  }

  private boolean exceedsBudget(Attempt attempt, long at) {
    if (budgetPeriod <= 0 || attempt.number == 0) {
      return false;
    }
    retries.add(at, 1);
    return retries.lowerBound(at)
        > 1 + budgetFloor + BUDGET_SLACK * budgetRatio * requests.upperBound(at);
  }

  /**
   * Whether this gateway alone wrote more to a cold engine than it bears: N and twice its root of
   * mean requests, and 2.
   */
  private boolean overloadsWarmingEngine(Attempt attempt, long at) {
    double work =
        Math.max(1, attempt.nominalTime * attempt.request.requestClass.config.threadsPerRequest());
    totalWork += work;
    writtenAttempts++;
    if (slowStartPeriod <= 0) {
      return false;
    }
    SlidingSum sum =
        workWritten.computeIfAbsent(
            attempt.engine, engine -> new SlidingSum(slowStartPeriod, SUM_SLICES));
    sum.add(at, work);
    long started = attempt.engine.startedAt;
    if (started <= 0 || at - started >= warmupTime) {
      return false;
    }
    double gone = Math.max(0, (double) (at - started) / warmupTime);
    double warmth = startCapacity + (1 - startCapacity) * gone;
    double cores = Math.max(1, settings.nth("family_info.kind_cores", attempt.engine.kind, 1));
    double mean = totalWork / writtenAttempts;
    double allowed = slowStartMultiple * warmth * cores * slowStartPeriod / mean;
    return sum.lowerBound(at) > (allowed + 2 * Math.sqrt(allowed) + 2) * mean;
  }
}
