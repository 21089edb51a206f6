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
 * Checks what was written against the invariants, by the time at which its first byte was sent and
 * not by what was decided. It shares no state with {@link SendGuard}. It reports certain violations
 * only: one that is merely possible, such as a write after a drain of which this process was not
 * notified, can only be detected from outside. Times are tenths of a millisecond. Used only by the
 * event loop's thread.
 */
public final class InvariantMonitor {
  /**
   * Tolerance beyond the limits that apply to writes on sockets, unless a rule has its own slack
   * below.
   */
  private static final long DEFAULT_SLACK = 50 * Units.TENTHS_PER_MS;

  private static final long ANSWER_SLACK = 500 * Units.TENTHS_PER_MS;
  private static final long DISCONNECT_SLACK = 100 * Units.TENTHS_PER_MS;
  private static final long LIMIT_SLACK = 150 * Units.TENTHS_PER_MS;
  private static final double BUDGET_SLACK = 1.15;
  private static final int SUM_SLICES = 50;

  /**
   * Time after which no attempt that was decided on earlier can still be on its way to an engine
   * that has left the endpoint list.
   */
  private static final long FORGET_GONE_ENGINE_AFTER = 60_000 * Units.TENTHS_PER_MS;

  /**
   * A written attempt. Times are tenths of a millisecond.
   *
   * @param attempt the attempt
   * @param firstByteAt when its first byte was sent
   * @param writeDeadline the time by which the send guard required its first byte to be sent
   * @param timeLimit time that the client still waits, as passed to the engine
   */
  public record Written(Attempt attempt, long firstByteAt, long writeDeadline, long timeLimit) {}

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
  private final Set<Engine> readyEngines = Collections.newSetFromMap(new IdentityHashMap<>());
  private final IdentityHashMap<Engine, Long> notReadySince = new IdentityHashMap<>();
  private final IdentityHashMap<Engine, SlidingSum> workWritten = new IdentityHashMap<>();
  private double totalWork;
  private long writtenAttempts;

  /**
   * Creates a monitor of a gateway that has written nothing yet.
   *
   * @param settings the settings that the policy uses, with times in tenths of a millisecond
   */
  public InvariantMonitor(Settings settings) {
    this.settings = settings;
    grace = settings.number("guarantees.drain_grace", 0);
    budgetPeriod = settings.number("guarantees.budget_span", 0);
    budgetFloor = settings.decimal("guarantees.extra_floor", 0);
    budgetRatio = settings.decimal("guarantees.further_ratio", 0);
    slowStartPeriod = settings.number("guarantees.fall", 0);
    slowStartMultiple = settings.decimal("guarantees.fall_multiple", 1);
    startCapacity = settings.decimal("guarantees.start_capacity", 1);
    warmupTime = settings.number("guarantees.warm_within", 0);
    requests = new SlidingSum(Math.max(1, budgetPeriod), SUM_SLICES);
    retries = new SlidingSum(Math.max(1, budgetPeriod), SUM_SLICES);
  }

  /** Counts an accepted request towards the retry budget. */
  public void onRequestAccepted(long now) {
    requests.add(now, 1);
  }

  /**
   * Applies a change of the endpoint list.
   *
   * @param complete whether the update contains all engines, so that those without an entry have
   *     left the list
   * @param entries the new state of engines
   */
  public void onEndpointsChanged(long now, boolean complete, List<EndpointUpdate> entries) {
    if (complete) {
      readyEngines.forEach(engine -> notReadySince.putIfAbsent(engine, now));
      readyEngines.clear();
    }
    for (EndpointUpdate entry : entries) {
      if (entry.status() == Status.READY) {
        readyEngines.add(entry.engine());
        notReadySince.remove(entry.engine());
      } else {
        readyEngines.remove(entry.engine());
        notReadySince.putIfAbsent(entry.engine(), now);
      }
    }
    notReadySince
        .entrySet()
        .removeIf(
            entry ->
                entry.getKey().status == Status.GONE
                    && now > entry.getValue() + FORGET_GONE_ENGINE_AFTER);
    workWritten.keySet().retainAll(readyEngines);
  }

  /**
   * Checks a final answer that has become ready.
   *
   * @return the violated invariants
   */
  public Set<Invariant> checkAnswer(long now, Request request) {
    return now > request.clientDeadline + ANSWER_SLACK
        ? EnumSet.of(Invariant.ANSWER_IN_TIME)
        : Set.of();
  }

  /**
   * Checks an attempt that was written.
   *
   * @return the violated invariants
   */
  public Set<Invariant> checkWritten(Written written) {
    EnumSet<Invariant> violations = EnumSet.noneOf(Invariant.class);
    Attempt attempt = written.attempt;
    Request request = attempt.request;
    long writtenAt = written.firstByteAt;
    attempt.setWrittenAt(writtenAt);
    if (request.requestClass == null) {
      // The baseline policies have no request classes, so there is nothing to check.
      return violations;
    }
    long timeLeft = Math.max(0, request.clientDeadline - writtenAt);
    addIf(violations, Invariant.CLIENT_WAITS, isTooLateForClient(request, writtenAt));
    addIf(violations, Invariant.LIMIT, written.timeLimit > timeLeft + LIMIT_SLACK);
    addIf(violations, Invariant.SINGLE_EFFECT, mayRunTwice(attempt, writtenAt));
    addIf(violations, Invariant.DRAIN, isAfterDrainGrace(attempt.engine, writtenAt));
    addIf(violations, Invariant.WRITE_IN_TIME, writtenAt > written.writeDeadline + DEFAULT_SLACK);
    addIf(violations, Invariant.ORDER, isOutOfOrder(request));
    addIf(violations, Invariant.PLACEMENT, !request.requestClass.config.allows(attempt.engine));
    addIf(violations, Invariant.RETRY_BUDGET, exceedsBudget(attempt, writtenAt));
    addIf(violations, Invariant.SLOW_START, overloadsWarmingEngine(attempt, writtenAt));
    return violations;
  }

  private static void addIf(Set<Invariant> violations, Invariant invariant, boolean violated) {
    if (violated) {
      violations.add(invariant);
    }
  }

  private static boolean isTooLateForClient(Request request, long writtenAt) {
    return (request.outcome == RequestOutcome.CLIENT_DISCONNECTED
            && writtenAt > request.disconnectedAt + DISCONNECT_SLACK)
        || writtenAt > request.clientDeadline + DEFAULT_SLACK;
  }

  private boolean isAfterDrainGrace(Engine engine, long writtenAt) {
    long knownSince = notReadySince.getOrDefault(engine, Long.MAX_VALUE - grace - DEFAULT_SLACK);
    return writtenAt > knownSince + grace + DEFAULT_SLACK;
  }

  private static boolean isOutOfOrder(Request request) {
    return request.isOrdered()
        && request.keyQueue.firstUnfinished() != request
        && request.outcome == null;
  }

  private static boolean mayRunTwice(Attempt attempt, long writtenAt) {
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
          || writtenAt > other.writtenAt() + classConfig.deduplicationWindow() + DEFAULT_SLACK) {
        return true;
      }
    }
    return false;
  }

  private boolean exceedsBudget(Attempt attempt, long writtenAt) {
    if (budgetPeriod <= 0 || attempt.number == 0) {
      return false;
    }
    retries.add(writtenAt, 1);
    return retries.lowerBound(writtenAt)
        > 1 + budgetFloor + BUDGET_SLACK * budgetRatio * requests.upperBound(writtenAt);
  }

  /**
   * Returns whether this gateway alone wrote more work to a warming engine than the limit for all
   * gateways allows. If the limit allows N requests of mean work in a period, more than N + 2
   * sqrt(N) + 2 of them violate it.
   */
  private boolean overloadsWarmingEngine(Attempt attempt, long writtenAt) {
    double work =
        Math.max(1, attempt.nominalTime * attempt.request.requestClass.config.threadsPerRequest());
    totalWork += work;
    writtenAttempts++;
    if (slowStartPeriod <= 0) {
      return false;
    }
    SlidingSum recentWork =
        workWritten.computeIfAbsent(
            attempt.engine, engine -> new SlidingSum(slowStartPeriod, SUM_SLICES));
    recentWork.add(writtenAt, work);
    long startedAt = attempt.engine.startedAt;
    if (startedAt <= 0 || writtenAt - startedAt >= warmupTime) {
      return false;
    }
    double progress = Math.max(0, (double) (writtenAt - startedAt) / warmupTime);
    double warmCapacity = startCapacity + (1 - startCapacity) * progress;
    double cores = Math.max(1, settings.numberAt("family_info.kind_cores", attempt.engine.kind, 1));
    double meanWork = totalWork / writtenAttempts;
    double allowedRequests = slowStartMultiple * warmCapacity * cores * slowStartPeriod / meanWork;
    return recentWork.lowerBound(writtenAt)
        > (allowedRequests + 2 * Math.sqrt(allowedRequests) + 2) * meanWork;
  }
}
