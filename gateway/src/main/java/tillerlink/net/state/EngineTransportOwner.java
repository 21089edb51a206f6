package tillerlink.net.state;

import java.net.InetSocketAddress;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.model.Settings;
import tillerlink.port.SendVerdict;
import tillerlink.telemetry.Telemetry;

/**
 * The owner that the transports of all engines share: limits their connections, and passes the
 * results of attempts on to clients and to the dispatch policy. Owns the endpoint list. Confined to
 * the event-loop thread.
 */
final class EngineTransportOwner implements EngineTransport.Owner {
  private final GatewayContext context;
  private final RequestRegistry requests;
  private final FencedRequests fencedRequests;
  private final NetworkSettings networkSettings;
  private final AttemptsAwaitingInput awaitingInput;
  private final EndpointList endpoints;
  private int openConnections;

  /**
   * Creates the owner of all transports and its endpoint list.
   *
   * @param policySettings the settings with the engine kinds and zones
   * @param factory the factory of transports by engine kind; the line protocol is used if it is
   *     null or returns null for an engine
   */
  EngineTransportOwner(
      GatewayContext context,
      RequestRegistry requests,
      FencedRequests fencedRequests,
      AttemptsAwaitingInput awaitingInput,
      NetworkSettings networkSettings,
      Settings policySettings,
      EngineTransport.Factory factory) {
    this.context = context;
    this.requests = requests;
    this.fencedRequests = fencedRequests;
    this.awaitingInput = awaitingInput;
    this.networkSettings = networkSettings;
    endpoints =
        new EndpointList(
            policySettings,
            context.telemetry(),
            context.listStatus(),
            this,
            (owner, engineAddress, kind) -> {
              EngineTransport transport =
                  factory == null ? null : factory.create(owner, engineAddress, kind);
              return transport == null
                  ? new LineProtocolTransport(
                      owner, engineAddress, networkSettings.streamsPerConnection())
                  : transport;
            });
  }

  /** Returns the endpoint list. */
  EndpointList endpoints() {
    return endpoints;
  }

  @Override
  public long now() {
    return context.now();
  }

  @Override
  public Telemetry telemetry() {
    return context.telemetry();
  }

  @Override
  public void warnRateLimited(String message) {
    context.warnRateLimited(message);
  }

  @Override
  public void runInNextIteration(Runnable task) {
    context.iteration().runInNextIteration(task);
  }

  @Override
  public void runAfterPendingReads(Runnable task) {
    context.driver().runAfterPendingReads(task);
  }

  // ---- attempts ----

  @Override
  public boolean awaitClientInput(InFlightAttempt inFlight, Runnable retry) {
    return awaitingInput.add(inFlight, retry);
  }

  @Override
  public long writeDeadline(InFlightAttempt inFlight) {
    return context.policyEvents().writeDeadline(inFlight);
  }

  @Override
  public void attemptSent(
      InFlightAttempt inFlight, long firstByteAt, long deadline, long announcedWait) {
    context.dispatchLog().attemptSent();
    context.invariants().attemptSent(inFlight, firstByteAt, deadline, announcedWait);
  }

  @Override
  public void attemptBlocked(InFlightAttempt inFlight, SendVerdict verdict) {
    context.dispatchLog().attemptBlocked(inFlight, verdict);
  }

  @Override
  public void attemptWritten(InFlightAttempt inFlight) {
    fencedRequests.onWritten(inFlight);
  }

  @Override
  public void attemptProgressed(InFlightAttempt inFlight, AttemptProgress progress, double level) {
    context.policyEvents().attemptProgressed(inFlight, progress, level);
  }

  @Override
  public void attemptEnded(InFlightAttempt inFlight, AttemptOutcome reported) {
    if (!inFlight.attempt.isInFlight()) {
      return;
    }
    inFlight.transport().release(inFlight);
    AttemptOutcome outcome =
        inFlight.hasGuard() ? fencedRequests.onEnded(inFlight, reported) : reported;
    if (outcome == AttemptOutcome.SUCCEEDED) {
      requests.succeed(inFlight.pending, inFlight.pages);
    }
    inFlight.releaseResult();
    long elapsed = context.now() - inFlight.attempt.sentAt;
    context.dispatchLog().attemptEnded(inFlight, outcome, elapsed);
    context.policyEvents().attemptEnded(inFlight, outcome, elapsed);
    requests.reservations().onAttemptEnded(inFlight);
  }

  /**
   * Times out the attempts that are still in flight when the client's deadline has passed. No
   * cancel command is sent, because the engine knows the deadline.
   */
  void timeOut(PendingResponse pending) {
    pending.attempts.forEach(inFlight -> attemptEnded(inFlight, AttemptOutcome.TIMED_OUT));
  }

  // ---- connections ----

  @Override
  public Channel connect(InetSocketAddress address, Channel.Owner owner) {
    return context.driver().connect(address, owner);
  }

  @Override
  public int maxConnections() {
    return networkSettings.maxConnections();
  }

  @Override
  public int openConnections() {
    return openConnections;
  }

  @Override
  public boolean reserveConnection() {
    return openConnections < networkSettings.maxConnections() || endpoints.closeLongestIdle();
  }

  @Override
  public void connectionCountChanged(int change) {
    openConnections += change;
  }

  @Override
  public long maxWriteDelay() {
    return networkSettings.maxWriteDelay();
  }

  @Override
  public int engineCount() {
    return endpoints.size();
  }
}
