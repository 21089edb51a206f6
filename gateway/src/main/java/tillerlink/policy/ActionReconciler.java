package tillerlink.policy;

import java.util.ArrayList;
import java.util.List;
import tillerlink.model.Attempt;
import tillerlink.model.Request;
import tillerlink.model.RequestOutcome;
import tillerlink.model.RequestTimers;
import tillerlink.port.DispatchActions;

/**
 * Compares the wanted state with the present one and emits the actions that make up the difference.
 * No other class emits actions. Times are tenths of a millisecond. Used only by the event loop's
 * thread.
 */
final class ActionReconciler {
  private final DispatchActions actions;
  private final RequestTimers timers;
  private final boolean mayCancel;
  private final List<Request> changedRequests = new ArrayList<>();
  private boolean watchRequested;
  private long watchRetryAt = Long.MAX_VALUE;
  private long wakeupScheduledFor = Long.MAX_VALUE;

  ActionReconciler(PolicyConfig config, RequestTimers timers, DispatchActions actions) {
    this.actions = actions;
    this.timers = timers;
    mayCancel = config.mayCancel;
    watchRequested = config.watchesEndpoints;
  }

  /**
   * Marks a request whose wanted state may have changed, so that the next reconciliation includes
   * it.
   */
  void markChanged(Request request) {
    if (!request.isReconcilePending()) {
      request.setReconcilePending(true);
      changedRequests.add(request);
    }
  }

  /**
   * Requests the cancellation of an attempt that was sent and is in flight. Does nothing if engines
   * can't cancel attempts.
   */
  void cancel(Attempt attempt) {
    if (mayCancel && attempt.isSent() && attempt.isInFlight()) {
      attempt.setCancelRequested(true);
      markChanged(attempt.request);
    }
  }

  /** Requests the cancellation of all attempts of a request that are in flight. */
  void cancelAll(Request request) {
    request.attempts.forEach(this::cancel);
  }

  /**
   * Schedules the next attempt to watch the endpoint list.
   *
   * @param retryAt the time from which on the watch is requested again, in tenths of a millisecond
   */
  void scheduleWatchRetry(long retryAt) {
    watchRetryAt = retryAt;
  }

  /** Cancels the scheduled retry, because the watch of the endpoint list works. */
  void cancelWatchRetry() {
    watchRetryAt = Long.MAX_VALUE;
  }

  /** Requests a watch of the endpoint list if its scheduled retry is due. */
  void requestWatchIfDue(long now) {
    if (watchRetryAt <= now) {
      watchRetryAt = Long.MAX_VALUE;
      watchRequested = true;
    }
  }

  /** Records that the scheduled wakeup has occurred, so that another one can be scheduled. */
  void onWakeup() {
    wakeupScheduledFor = Long.MAX_VALUE;
  }

  /**
   * Emits the actions that lead from the present state to the wanted one, and schedules a wakeup
   * for the next timer or watch retry unless an earlier one is scheduled.
   */
  void reconcile(long now) {
    if (watchRequested) {
      watchRequested = false;
      actions.watchEndpoints();
    }
    for (Request request : changedRequests) {
      request.setReconcilePending(false);
      reconcileOutcome(request);
      reconcilePriorityAndGrant(request);
      request.attempts.forEach(this::reconcileAttempt);
    }
    changedRequests.clear();
    long nextWakeupAt = Math.min(timers.nextDueAt(), watchRetryAt);
    if (nextWakeupAt < wakeupScheduledFor) {
      wakeupScheduledFor = Math.max(nextWakeupAt, now + 1);
      actions.scheduleWakeup(wakeupScheduledFor);
    }
  }

  private void reconcileOutcome(Request request) {
    if (request.outcome != null && !request.isNotified()) {
      request.setNotified(true);
      if (request.outcome == RequestOutcome.REJECTED) {
        actions.rejectRequest(request, request.retryAfter());
      } else {
        actions.failRequest(request);
      }
    }
  }

  private void reconcilePriorityAndGrant(Request request) {
    boolean differs =
        request.priority() != request.prioritySent() || request.grant() != request.grantSent();
    if (differs && request.attemptsInFlight > 0) {
      request.setPrioritySent(request.priority());
      request.setGrantSent(request.grant());
      actions.updatePriorityAndGrant(request, request.priority(), request.grant());
    }
  }

  private void reconcileAttempt(Attempt attempt) {
    if (!attempt.isSent()) {
      attempt.setSent(true);
      actions.sendAttempt(attempt);
    }
    if (attempt.isCancelRequested() && !attempt.isCancelSent() && attempt.isInFlight()) {
      attempt.setCancelSent(true);
      actions.cancelAttempt(attempt);
    }
  }
}
