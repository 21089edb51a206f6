package tillerlink.net.state;

import java.util.ArrayList;
import java.util.List;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.Request;
import tillerlink.port.DispatchActions;
import tillerlink.port.SendVerdict;

/**
 * Executes the actions that the dispatch policy orders. Attempts are passed to the transports of
 * their engines; rejections and failures are passed to the request registry. Confined to the
 * event-loop thread; all times are tenths of a millisecond.
 */
final class ActionExecutor implements DispatchActions {
  private final GatewayContext context;
  private final RequestRegistry requests;
  private final EngineTransportOwner transports;
  private final AttemptsAwaitingInput awaitingInput;

  /** The attempts that the policy has ordered in the current iteration. */
  private List<InFlightAttempt> orderedAttempts = new ArrayList<>();

  ActionExecutor(
      GatewayContext context,
      RequestRegistry requests,
      EngineTransportOwner transports,
      AttemptsAwaitingInput awaitingInput) {
    this.context = context;
    this.requests = requests;
    this.transports = transports;
    this.awaitingInput = awaitingInput;
  }

  @Override
  public void updatePriorityAndGrant(Request request, int priority, long grant) {
    // The engine protocols have no message that changes the priority or the grant of a request.
  }

  @Override
  public void sendAttempt(Attempt attempt) {
    PendingResponse pending = (PendingResponse) attempt.request.tag;
    InFlightAttempt inFlight =
        new InFlightAttempt(attempt, pending, context.policyEvents()::checkWrite);
    pending.attempts.add(inFlight);
    orderedAttempts.add(inFlight);
    context.dispatchLog().attemptOrdered(inFlight);
  }

  /**
   * Passes the attempts that were ordered in the current iteration to their transports, once all
   * input that could be read when this method was called has been processed.
   */
  void startOrderedAttempts() {
    if (!orderedAttempts.isEmpty()) {
      List<InFlightAttempt> batch = orderedAttempts;
      orderedAttempts = new ArrayList<>();
      context.driver().runAfterPendingReads(() -> batch.forEach(this::start));
    }
    awaitingInput.retryReady();
  }

  /**
   * Passes an attempt to its transport if it may still be sent. The check is made here once more
   * because the client may have disconnected just as the policy decided on the attempt. All input
   * that could be read at that moment has been processed since.
   */
  private void start(InFlightAttempt inFlight) {
    if (!inFlight.attempt.isInFlight()) {
      return;
    }
    SendVerdict verdict = inFlight.checkSend();
    if (verdict == SendVerdict.CLIENT_INPUT_UNREAD
        && awaitingInput.add(inFlight, () -> start(inFlight))) {
      return;
    }
    if (verdict == SendVerdict.ALLOWED && !requests.reservations().tryReserve(inFlight)) {
      verdict = SendVerdict.OUT_OF_MEMORY;
    }
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
    InFlightAttempt inFlight = ((PendingResponse) attempt.request.tag).attempts.get(attempt.number);
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
    // The gateway polls the discovery service continuously, so there is nothing to start here.
  }

  @Override
  public void log(String line) {
    context.warnRateLimited(line);
  }
}
