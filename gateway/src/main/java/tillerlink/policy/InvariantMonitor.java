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
  private static final long LEFT_SLACK = 100 * Units.TENTHS_PER_MS;
  private static final long LIMIT_SLACK = 150 * Units.TENTHS_PER_MS;
  private static final double BUDGET_SLACK = 1.15;
  private static final int SLICES = 50;

  /** For longer nothing that was decided before is on its way to an engine that is gone. */
  private static final long FORGOTTEN_AFTER = 60_000 * Units.TENTHS_PER_MS;

  /**
   * An attempt that was written.
   *
   * @param firstByteAt when its first byte went out
   * @param before when the guard wanted it out by
   * @param limit how long the engine was told that the client waits
   */
  public record Written(Attempt attempt, long firstByteAt, long before, long limit) {}

  private final long grace;
  private final long budgetSpan;
  private final double budgetFloor;
  private final double budgetShare;
  private final long fallSpan;
  private final double fallMultiple;
  private final double startCapacity;
  private final long warmWithin;
  private final Settings settings;
  private final SlidingSum taken;
  private final SlidingSum further;
  private final Set<Engine> ready = Collections.newSetFromMap(new IdentityHashMap<>());
  private final IdentityHashMap<Engine, Long> notReadySince = new IdentityHashMap<>();
  private final IdentityHashMap<Engine, SlidingSum> workWritten = new IdentityHashMap<>();
  private double works;
  private long written;

  /**
   * @param settings as the policy has them
   */
  public InvariantMonitor(Settings settings) {
    this.settings = settings;
    grace = settings.number("guarantees.drain_grace", 0);
    budgetSpan = settings.number("guarantees.budget_span", 0);
    budgetFloor = settings.amount("guarantees.extra_floor", 0);
    budgetShare = settings.amount("guarantees.further_ratio", 0);
    fallSpan = settings.number("guarantees.fall", 0);
    fallMultiple = settings.amount("guarantees.fall_multiple", 1);
    startCapacity = settings.amount("guarantees.start_capacity", 1);
    warmWithin = settings.number("guarantees.warm_within", 0);
    taken = new SlidingSum(Math.max(1, budgetSpan), SLICES);
    further = new SlidingSum(Math.max(1, budgetSpan), SLICES);
  }

  /** A request was accepted. */
  public void onRequestAccepted(long now) {
    taken.add(now, 1);
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
                entry.getKey().status == Status.GONE && now > entry.getValue() + FORGOTTEN_AFTER);
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
    note(
        broken,
        Invariant.CLIENT_WAITS,
        (request.outcome == RequestOutcome.CLIENT_DISCONNECTED
                && at > request.disconnectedAt + LEFT_SLACK)
            || at > request.clientDeadline + SLACK);
    note(
        broken,
        Invariant.LIMIT,
        written.limit > Math.max(0, request.clientDeadline - at) + LIMIT_SLACK);
    note(broken, Invariant.SINGLE_EFFECT, runsTwice(attempt, at));
    note(
        broken,
        Invariant.DRAIN,
        at
            > notReadySince.getOrDefault(attempt.engine, Long.MAX_VALUE - grace - SLACK)
                + grace
                + SLACK);
    note(broken, Invariant.WRITE_IN_TIME, at > written.before + SLACK);
    note(
        broken,
        Invariant.ORDER,
        request.ordered()
            && request.keyQueue.firstUnfinished() != request
            && request.outcome == null);
    note(broken, Invariant.PLACEMENT, !request.requestClass.config.allows(attempt.engine));
    note(broken, Invariant.RETRY_BUDGET, exceedsBudget(attempt, at));
    note(broken, Invariant.SLOW_START, overloadsCold(attempt, at));
    return broken;
  }

  private static void note(Set<Invariant> broken, Invariant which, boolean isBroken) {
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
    if (budgetSpan <= 0 || attempt.number == 0) {
      return false;
    }
    further.add(at, 1);
    return further.lowerBound(at)
        > 1 + budgetFloor + BUDGET_SLACK * budgetShare * taken.upperBound(at);
  }

  /**
   * Whether this gateway alone wrote more to a cold engine than it bears: N and twice its root of
   * mean requests, and 2.
   */
  private boolean overloadsCold(Attempt attempt, long at) {
    double work =
        Math.max(1, attempt.nominalTime * attempt.request.requestClass.config.threadsPerRequest());
    works += work;
    written++;
    if (fallSpan <= 0) {
      return false;
    }
    SlidingSum sum =
        workWritten.computeIfAbsent(attempt.engine, engine -> new SlidingSum(fallSpan, SLICES));
    sum.add(at, work);
    long started = attempt.engine.startedAt;
    if (started <= 0 || at - started >= warmWithin) {
      return false;
    }
    double gone = Math.max(0, (double) (at - started) / warmWithin);
    double warmth = startCapacity + (1 - startCapacity) * gone;
    double cores = Math.max(1, settings.nth("family_info.kind_cores", attempt.engine.kind, 1));
    double mean = works / written;
    double requests = fallMultiple * warmth * cores * fallSpan / mean;
    return sum.lowerBound(at) > (requests + 2 * Math.sqrt(requests) + 2) * mean;
  }
}
