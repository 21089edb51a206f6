package tillerlink.policy;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Engine;
import tillerlink.model.Request;
import tillerlink.model.RequestOutcome;
import tillerlink.model.RequestTimers;
import tillerlink.model.Settings;
import tillerlink.model.TerminationReason;
import tillerlink.port.DispatchActions;
import tillerlink.port.DispatchPolicy;
import tillerlink.port.EndpointListState;
import tillerlink.port.SendVerdict;

/**
 * Makes all decisions of one gateway: which requests run, on which engine, and with how much
 * memory.
 *
 * <p>It receives the events of {@link DispatchPolicy} and determines the order in which they are
 * processed. Events only change the known and the wanted state. {@link #applyDecisions} then
 * reviews what is due and places the requests that may be sent, and only {@link ActionReconciler}
 * emits the difference between the wanted and the present state through {@link DispatchActions}.
 * Times are tenths of a millisecond. All methods are called on the event loop's thread. The design
 * is described in docs/design.md.
 */
public final class DefaultDispatchPolicy implements DispatchPolicy {
  private final PolicyConfig config;
  private final Random random;
  private final EngineRegistry registry;
  private final SendGuard guard;
  private final LoadEstimator estimator;
  private final ConcurrencyLimiter limiter;
  private final RetryBudget budget;
  private final RequestDeadlines deadlines;
  private final RetryPolicy retryPolicy;
  private final RequestTimers timers;
  private final RequestQueues queues;
  private final KeyOrdering ordering;
  private final ActionReconciler reconciler;
  private final AdmissionController admission;
  private final EngineSelector selector;
  private final AttemptPlacer placer;
  private final AttemptSupervisor supervisor;

  /**
   * Creates the policy of one gateway.
   *
   * @param now the time of the start, in tenths of a millisecond
   * @param seed the seed of all random draws
   * @param values the settings by name, as described at {@link
   *     tillerlink.port.DispatchPolicyFactory}
   * @param actions receives the actions that the policy decides on
   */
  public DefaultDispatchPolicy(
      long now, long seed, Map<String, Object> values, DispatchActions actions) {
    config = new PolicyConfig(new Settings(values), seed);
    random = new Random(seed);
    guard = new SendGuard(config.tick);
    FleetMeasurements measurements = FleetMeasurements.create(config, now);
    registry = measurements.registry();
    estimator = measurements.estimator();
    limiter = new ConcurrencyLimiter(config, measurements);
    budget = new RetryBudget(config);
    deadlines = new RequestDeadlines(config, estimator);
    retryPolicy = new RetryPolicy(config, registry, guard, budget, estimator, deadlines);
    timers = new RequestTimers();
    queues = new RequestQueues(estimator.requestClasses());
    ordering = new KeyOrdering(config, queues, timers);
    reconciler = new ActionReconciler(config, timers, actions);
    admission =
        new AdmissionController(
            config, queues, timers, ordering, budget, estimator, deadlines, limiter, reconciler);
    selector = new EngineSelector(config, random, now, guard, measurements, limiter);
    MemoryGrants grants = new MemoryGrants(config);
    placer = new AttemptPlacer(measurements, grants, budget, deadlines, timers, reconciler);
    supervisor =
        new AttemptSupervisor(
            config, measurements, limiter, retryPolicy, deadlines, timers, reconciler);
  }

  @Override
  public void onEndpointsChanged(long now, boolean complete, List<EndpointUpdate> entries) {
    registry.update(complete, entries);
    reconciler.cancelWatchRetry();
  }

  @Override
  public void onEndpointsUnknown(long now, boolean unknown) {
    admission.setEndpointsUnknown(unknown);
  }

  @Override
  public void onEndpointListStateChanged(long now, EndpointListState state, long usableUntil) {
    admission.setEndpointListState(state);
    guard.setListUsableUntil(usableUntil);
  }

  @Override
  public void onEndpointPollFailed(long now) {
    if (config.watchesEndpoints) {
      reconciler.scheduleWatchRetry(
          now + (long) (config.watchRetryPause * (0.5 + random.nextDouble())));
    }
  }

  @Override
  public void onRequestArrived(long now, Request request) {
    request.requestClass = estimator.requestClasses().get(request.classIndex);
    budget.recordRequest(now);
    estimator.recordArrival(now, request);
    if (request.isOrdered()) {
      request.keyQueue.requests.addLast(request);
      timers.set(request, deadlines.tooLateAt(now, request));
      ordering.advance(now, request);
    } else {
      queues.addLast(request);
    }
  }

  @Override
  public void onResponseStarted(long now, Attempt attempt) {
    attempt.request.setResponseStarted(true);
    attempt.engine.setLastResponseAt(now);
  }

  @Override
  public void onAttemptProgress(long now, Attempt attempt, AttemptProgress progress, double level) {
    if (!attempt.isInFlight()) {
      return;
    }
    attempt.engine.setLastResponseAt(now);
    if (progress == AttemptProgress.PROGRESS) {
      supervisor.recordProgress(now, attempt, level);
    }
  }

  @Override
  public void onAttemptEnded(
      long now,
      Attempt attempt,
      AttemptOutcome outcome,
      long duration,
      boolean answered,
      double work,
      double memory,
      double[] report) {
    Request request = attempt.request;
    attempt.outcome = outcome;
    request.attemptsInFlight--;
    attempt.engine.attemptEnded(attempt);
    supervisor.recordEnd(now, attempt, outcome, duration, work, memory, report);
    if (answered) {
      boolean succeeded = outcome == AttemptOutcome.SUCCEEDED;
      close(request, succeeded ? RequestOutcome.SUCCEEDED : RequestOutcome.CLIENT_DISCONNECTED);
    }
    ordering.recordOutcome(now, request, outcome);
    if (request.outcome == null && request.attemptsInFlight == 0) {
      retryOrTerminate(now, request);
    }
    ordering.advance(now, request);
  }

  /**
   * Queues a request for another attempt after one without success, or terminates it if the rules,
   * the retry budget or the time left do not allow another attempt.
   */
  private void retryOrTerminate(long now, Request request) {
    if (retryPolicy.isAnotherAttemptWorthwhile(now, request)) {
      queues.addFirst(request);
    } else {
      admission.terminate(now, request, TerminationReason.NO_FURTHER_ATTEMPT);
    }
  }

  @Override
  public void onClientDisconnected(long now, Request request) {
    close(request, RequestOutcome.CLIENT_DISCONNECTED);
    ordering.advance(now, request);
  }

  /**
   * Removes a request from its queue while no client waits for its answer, and resumes it when the
   * client asks again. Guards engines against work whose result no client waits for, since no
   * attempt begins in the meantime.
   */
  @Override
  public void onClientAttendanceChanged(long now, Request request, boolean unattended) {
    request.unattended = unattended;
    if (unattended && queues.remove(request)) {
      timers.set(request, deadlines.tooLateAt(now, request));
    } else if (!unattended
        && request.outcome == null
        && !request.isQueued()
        && request.attemptsInFlight == 0) {
      resume(now, request);
    }
  }

  private void resume(long now, Request request) {
    if (!request.attempts.isEmpty()) {
      retryOrTerminate(now, request);
    } else if (request.isOrdered()) {
      ordering.advance(now, request);
    } else {
      queues.addFirst(request);
    }
  }

  @Override
  public SendVerdict checkWrite(long now, Attempt attempt) {
    SendVerdict verdict = guard.checkWrite(now, attempt);
    if (verdict == SendVerdict.ALLOWED && attempt.number > 0 && !budget.isWithinBudget(now)) {
      return SendVerdict.RETRY_BUDGET;
    }
    return verdict;
  }

  @Override
  public long writeDeadline(long now, Attempt attempt) {
    return guard.writeDeadline(now, attempt);
  }

  private void close(Request request, RequestOutcome outcome) {
    if (request.outcome == null) {
      request.outcome = outcome;
      request.setNotified(true);
      queues.remove(request);
      timers.cancel(request);
      reconciler.cancelAll(request);
    }
  }

  @Override
  public void onShutdownDeadline(long now, Request request) {
    if (request.outcome == null) {
      admission.terminate(now, request, TerminationReason.SHUTDOWN);
    }
  }

  @Override
  public void onWakeup(long now) {
    reconciler.onWakeup();
  }

  @Override
  public void applyDecisions(long now) {
    for (Request dueRequest = timers.pollDue(now);
        dueRequest != null;
        dueRequest = timers.pollDue(now)) {
      review(now, dueRequest);
    }
    reconciler.requestWatchIfDue(now);
    limiter.surveyFleet(now);
    placeQueued(now);
    admission.shedLoad(now);
    reconciler.reconcile(now);
  }

  /** Places queued requests as long as any engine has capacity for them. */
  private void placeQueued(long now) {
    BitSet blockedClasses = new BitSet(config.requestClasses.size());
    for (Request request = queues.next(now, blockedClasses);
        request != null;
        request = queues.next(now, blockedClasses)) {
      TerminationReason reason = admission.terminationReason(now, request);
      if (reason != null) {
        admission.terminate(now, request, reason);
        continue;
      }
      Engine engine = selector.select(now, request);
      if (engine == null) {
        blockedClasses.set(request.classIndex);
      } else {
        queues.removeFirst(request.requestClass);
        placer.place(now, request, engine);
      }
    }
  }

  /**
   * Performs the review that is due for a request: terminates it if it is too late, reviews its
   * place in the queue, or reviews its attempt in flight.
   */
  private void review(long now, Request request) {
    if (request.isResponseStarted()) {
      return;
    }
    if (now >= deadlines.tooLateAt(now, request)) {
      admission.terminate(now, request, TerminationReason.TOO_LATE);
    } else if (request.attemptsInFlight == 0) {
      admission.reviewWaiting(now, request);
    } else {
      supervisor.review(now, request);
    }
  }
}
