package tillerlink.policy;

import java.util.ArrayList;
import java.util.List;
import tillerlink.model.Attempt;
import tillerlink.model.Request;
import tillerlink.model.RequestOutcome;
import tillerlink.model.RequestTimers;
import tillerlink.port.DispatchActions;

/**
 * The one place that compares the wanted state with the present one, and emits the actions that
 * make up the difference. Times are tenths of a millisecond. Used by the event loop alone.
 */
final class ActionReconciler {
  private final DispatchActions actions;
  private final RequestTimers timers;
  private final boolean mayCancel;
  private final List<Request> changed = new ArrayList<>();
  private boolean watchWanted;
  private long watchRetryAt = Long.MAX_VALUE;
  private long wakeupScheduledFor = Long.MAX_VALUE;

  ActionReconciler(PolicyConfig config, RequestTimers timers, DispatchActions actions) {
    this.actions = actions;
    this.timers = timers;
    mayCancel = config.mayCancel;
    watchWanted = config.watchesEndpoints;
  }

  /** The wanted state of a request may have changed. */
  void markChanged(Request request) {
    if (!request.isReconcilePending()) {
      request.setReconcilePending(true);
      changed.add(request);
    }
  }

  /** Wants an attempt cancelled, if it was sent and engines can do that. */
  void cancel(Attempt attempt) {
    if (mayCancel && attempt.isSent() && attempt.isInFlight()) {
      attempt.setCancelRequested(true);
      markChanged(attempt.request);
    }
  }

  /** Wants all attempts of a request cancelled. */
  void cancelAll(Request request) {
    request.attempts.forEach(this::cancel);
  }

  /** Wants the endpoint list watched again, from that moment on. */
  void retryWatchAt(long at) {
    watchRetryAt = at;
  }

  /** The watch of the endpoint list works. */
  void clearWatchRetry() {
    watchRetryAt = Long.MAX_VALUE;
  }

  /** The watch of the endpoint list is wanted if its retry is due. */
  void reviewWatch(long now) {
    if (watchRetryAt <= now) {
      watchRetryAt = Long.MAX_VALUE;
      watchWanted = true;
    }
  }

  /** The scheduled wakeup has come. */
  void onWakeup() {
    wakeupScheduledFor = Long.MAX_VALUE;
  }

  /** Emits the actions that lead from the present state to the wanted one. */
  void reconcile(long now) {
    if (watchWanted) {
      watchWanted = false;
      actions.watchEndpoints();
    }
    for (Request request : changed) {
      request.setReconcilePending(false);
      reconcileOutcome(request);
      reconcilePriorityAndGrant(request);
      request.attempts.forEach(this::reconcileAttempt);
    }
    changed.clear();
    long next = Math.min(timers.next(), watchRetryAt);
    if (next < wakeupScheduledFor) {
      wakeupScheduledFor = Math.max(next, now + 1);
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
