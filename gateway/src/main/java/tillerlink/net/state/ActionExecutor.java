package tillerlink.net.state;

import java.util.ArrayList;
import java.util.List;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.Request;
import tillerlink.policy.SendVerdict;
import tillerlink.port.DispatchActions;

/**
 * Executes the policy's actions: attempts go to the transports of their engines, rejections and
 * failures to the requests. Owned by the event-loop thread.
 */
final class ActionExecutor implements DispatchActions {
  private final GatewayContext context;
  private final RequestRegistry requests;
  private final EngineTransportOwner transports;

  /** Attempts ordered in this iteration. */
  private List<InFlightAttempt> ordered = new ArrayList<>();

  ActionExecutor(
      GatewayContext context, RequestRegistry requests, EngineTransportOwner transports) {
    this.context = context;
    this.requests = requests;
    this.transports = transports;
  }

  @Override
  public void updatePriorityAndGrant(Request request, int rank, long grant) {
    // This protocol has no message for either.
  }

  @Override
  public void sendAttempt(Attempt attempt) {
    PendingResponse pending = (PendingResponse) attempt.request.tag;
    InFlightAttempt inFlight =
        new InFlightAttempt(attempt, pending, context.policyEvents()::checkWrite);
    pending.inFlightAttempts.add(inFlight);
    ordered.add(inFlight);
    context.dispatchLog().attemptOrdered(inFlight);
  }

  /**
   * Hands the attempts ordered in this iteration to their transports once all input that can be
   * read by now has been processed.
   */
  void startOrderedAttempts() {
    if (!ordered.isEmpty()) {
      List<InFlightAttempt> batch = ordered;
      ordered = new ArrayList<>();
      context.driver().runAfterPendingReads(() -> batch.forEach(this::start));
    }
  }

  /**
   * Guards requests whose client closed at the moment of the order: what could be read by then has
   * been processed since, and the attempt is checked once more.
   */
  private void start(InFlightAttempt inFlight) {
    if (!inFlight.attempt.isInFlight()) {
      return;
    }
    SendVerdict verdict = inFlight.checkSend();
    if (verdict == SendVerdict.ALLOWED) {
      inFlight.transport().send(inFlight);
    } else {
      context.dispatchLog().attemptBlocked(inFlight, verdict);
      context
          .iteration()
          .runInNextIteration(() -> transports.attemptEnded(inFlight, AttemptOutcome.NOT_SENT));
    }
  }

  @Override
  public void cancelAttempt(Attempt attempt) {
    InFlightAttempt inFlight =
        ((PendingResponse) attempt.request.tag).inFlightAttempts.get(attempt.number);
    if (attempt.isInFlight()) {
      AttemptOutcome outcome = inFlight.transport().abandon(inFlight);
      context.dispatchLog().attemptCancelled(inFlight);
      context.iteration().runInNextIteration(() -> transports.attemptEnded(inFlight, outcome));
    }
  }

  @Override
  public void rejectRequest(Request request, long retryAfter) {
    context.dispatchLog().requestRejected(request);
    requests.reject((PendingResponse) request.tag, retryAfter);
  }

  @Override
  public void failRequest(Request request) {
    context.dispatchLog().requestFailed(request);
    requests.fail((PendingResponse) request.tag);
  }

  @Override
  public void scheduleWakeup(long at) {
    context.policyEvents().scheduleWakeup(at);
  }

  @Override
  public void watchEndpoints() {
    // The discovery service is polled all the time.
  }

  @Override
  public void log(String line) {
    context.warnRateLimited(line);
  }
}
