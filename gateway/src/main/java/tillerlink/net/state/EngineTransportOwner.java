package tillerlink.net.state;

import java.net.InetSocketAddress;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.model.Settings;
import tillerlink.net.wire.ResultEncoder;
import tillerlink.policy.SendVerdict;
import tillerlink.telemetry.Telemetry;

/**
 * What the transports of all engines share: the bound on connections, and the way by which what
 * becomes of attempts reaches clients and policy. Owns the endpoint list; owned by the event-loop
 * thread.
 */
final class EngineTransportOwner implements EngineTransport.Owner {
  private final GatewayContext context;
  private final RequestRegistry requests;
  private final RetainedBytes retained;
  private final FencedRequests fencedRequests;
  private final NetworkSettings settings;
  private final EndpointList endpoints;
  private int openConnections;

  /**
   * @param factory how engines are reached, by their kinds; null, or null for an engine: over
   *     engine lines
   */
  EngineTransportOwner(
      GatewayContext context,
      RequestRegistry requests,
      RetainedBytes retained,
      FencedRequests fencedRequests,
      NetworkSettings settings,
      Settings terms,
      EngineTransport.Factory factory) {
    this.context = context;
    this.requests = requests;
    this.retained = retained;
    this.fencedRequests = fencedRequests;
    this.settings = settings;
    endpoints =
        new EndpointList(
            terms,
            context.telemetry(),
            context.listStatus(),
            this,
            (owner, engineAddress, kind) -> {
              EngineTransport transport =
                  factory == null ? null : factory.create(owner, engineAddress, kind);
              return transport == null
                  ? new LineProtocolTransport(owner, engineAddress, settings.streamsPerConnection())
                  : transport;
            });
  }

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
  public void warnRateLimited(String line) {
    context.warnRateLimited(line);
  }

  @Override
  public void runInNextIteration(Runnable task) {
    context.iteration().runInNextIteration(task);
  }

  @Override
  public void retainedBytesChanged(long more) {
    retained.add(more);
  }

  // ---- attempts ----

  @Override
  public long writeDeadline(InFlightAttempt inFlight) {
    return context.policyEvents().writeDeadline(inFlight);
  }

  @Override
  public void attemptSent(InFlightAttempt inFlight, long firstByteAt, long before, long limit) {
    context.dispatchLog().attemptSent();
    context.invariants().attemptSent(inFlight, firstByteAt, before, limit);
  }

  @Override
  public void attemptBlocked(InFlightAttempt inFlight, SendVerdict verdict) {
    context.dispatchLog().attemptBlocked(inFlight, verdict);
  }

  @Override
  public void attemptWritten(InFlightAttempt inFlight) {
    fencedRequests.written(inFlight);
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
        inFlight.fenced() ? fencedRequests.ended(inFlight, reported) : reported;
    if (outcome == AttemptOutcome.SUCCEEDED) {
      requests.succeed(inFlight.pending, ResultEncoder.answer(inFlight.pages));
    }
    inFlight.releaseResult();
    retainedBytesChanged(-inFlight.bytes);
    long elapsed = context.now() - inFlight.attempt.sentAt;
    context.dispatchLog().attemptEnded(inFlight, outcome, elapsed);
    context.policyEvents().attemptEnded(inFlight, outcome, elapsed);
  }

  /**
   * The client's time is up: attempts still in flight time out. The engine knows the deadline and
   * is not notified.
   */
  void timeOut(PendingResponse pending) {
    pending.inFlightAttempts.forEach(inFlight -> attemptEnded(inFlight, AttemptOutcome.TIMED_OUT));
  }

  // ---- connections ----

  @Override
  public Channel connect(InetSocketAddress to, Channel.Owner owner) {
    return context.driver().connect(to, owner);
  }

  @Override
  public int maxConnections() {
    return settings.maxConnections();
  }

  @Override
  public int openConnections() {
    return openConnections;
  }

  @Override
  public boolean reserveConnection() {
    return openConnections < settings.maxConnections() || endpoints.closeLongestIdle();
  }

  @Override
  public void connectionCountChanged(int more) {
    openConnections += more;
  }

  @Override
  public long maxWriteDelay() {
    return settings.maxWriteDelay();
  }

  @Override
  public int engineCount() {
    return endpoints.size();
  }
}
