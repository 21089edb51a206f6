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
 * Checks what was written, by when its first byte was sent and not by what was decided, and shares
 * no state with the guard. It finds violations that are certain; what only might be one (a drain of
 * which this process was not notified) is visible from outside alone. Times are tenths of a
 * millisecond. Used by the event loop alone.
 */
public final class InvariantMonitor {
  /** What a rule on sockets allows beyond its limit; the next ones have slacks of their own. */
  private static final long SLACK = 50 * Units.TENTHS_PER_MS;

  private static final long ANSWER_SLACK = 500 * Units.TENTHS_PER_MS;
  private static final long DISCONNECT_SLACK = 100 * Units.TENTHS_PER_MS;
  private static final long LIMIT_SLACK = 150 * Units.TENTHS_PER_MS;
  private static final double BUDGET_SLACK = 1.15;
  private static final int SUM_SLICES = 50;

  /** After this time nothing that was decided earlier is on its way to an engine that is gone. */
  private static final long FORGET_GONE_ENGINE_AFTER = 60_000 * Units.TENTHS_PER_MS;

  /**
   * An attempt that was written.
   *
   * @param attempt the attempt
   * @param firstByteAt when its first byte was sent
   * @param writeBefore when the guard wanted it sent by
   * @param limit how long the client waits, as passed to the engine
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
   * Creates a monitor of a gateway that has written nothing yet.
   *
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

  /** The endpoint list changed; {@code whole} means that engines not in it are gone. */
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

  /** A final answer became ready; returns what that breaks. */
  public Set<Invariant> checkAnswer(long now, Request request) {
    return now > request.clientDeadline + ANSWER_SLACK
        ? EnumSet.of(Invariant.ANSWER_IN_TIME)
        : Set.of();
  }

  /** An attempt was written; returns what that breaks. */
  public Set<Invariant> checkWritten(Written written) {
    EnumSet<Invariant> broken = EnumSet.noneOf(Invariant.class);
    Attempt attempt = written.attempt;
    Request request = attempt.request;
    long at = written.firstByteAt;
    attempt.setWrittenAt(at);
    if (request.requestClass == null) {
      // A policy without request classes, as the baselines have: there is nothing to check.
      return broken;
    }
    long timeLeft = Math.max(0, request.clientDeadline - at);
    addIf(broken, Invariant.CLIENT_WAITS, isTooLateForClient(request, at));
    addIf(broken, Invariant.LIMIT, written.limit > timeLeft + LIMIT_SLACK);
    addIf(broken, Invariant.SINGLE_EFFECT, runsTwice(attempt, at));
    addIf(broken, Invariant.DRAIN, isAfterDrainGrace(attempt.engine, at));
    addIf(broken, Invariant.WRITE_IN_TIME, at > written.writeBefore + SLACK);
    addIf(broken, Invariant.ORDER, isOutOfOrder(request));
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

  private static boolean isTooLateForClient(Request request, long at) {
    return (request.outcome == RequestOutcome.CLIENT_DISCONNECTED
            && at > request.disconnectedAt + DISCONNECT_SLACK)
        || at > request.clientDeadline + SLACK;
  }

  private boolean isAfterDrainGrace(Engine engine, long at) {
    long since = notReadySince.getOrDefault(engine, Long.MAX_VALUE - grace - SLACK);
    return at > since + grace + SLACK;
  }

  private static boolean isOutOfOrder(Request request) {
    return request.ordered()
        && request.keyQueue.firstUnfinished() != request
        && request.outcome == null;
  }

  private static boolean runsTwice(Attempt attempt, long at) {
    RequestClassConfig classConfig = attempt.request.requestClass.config;
    if (classConfig.effect() == Effect.PURE) {
      return false;
    }
    for (Attempt other : attempt.request.attempts) {
      if (other == attempt || other.writtenAt() == 0 || !other.mayHaveRun()) {
        continue;
      }
      if (classConfig.effect() == Effect.EFFECTFUL
          || !classConfig.deduplicationGroup().covers(other.engine, attempt.engine)
          || at > other.writtenAt() + classConfig.deduplicationWindow() + SLACK) {
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
   * Whether this gateway alone wrote more to a warming engine than that bears: with N mean requests
   * allowed in a period, over N + 2 root N + 2 of them.
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
    double progress = Math.max(0, (double) (at - started) / warmupTime);
    double warmCapacity = startCapacity + (1 - startCapacity) * progress;
    double cores = Math.max(1, settings.nth("family_info.kind_cores", attempt.engine.kind, 1));
    double mean = totalWork / writtenAttempts;
    double allowed = slowStartMultiple * warmCapacity * cores * slowStartPeriod / mean;
    return sum.lowerBound(at) > (allowed + 2 * Math.sqrt(allowed) + 2) * mean;
  }
}
