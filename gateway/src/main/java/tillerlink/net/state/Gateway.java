package tillerlink.net.state;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.model.Request;
import tillerlink.model.Settings;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.net.wire.ResultEncoder;
import tillerlink.plain.FlattenedConfig;
import tillerlink.plain.Units;
import tillerlink.policy.EndpointListState;
import tillerlink.policy.Invariant;
import tillerlink.policy.InvariantMonitor;
import tillerlink.policy.SendVerdict;
import tillerlink.port.DispatchActions;
import tillerlink.port.DispatchPolicy;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.EventLog.Topic;
import tillerlink.telemetry.Telemetry;

/**
 * One gateway's state and its door to the module: what clients, engines and the discovery service
 * say becomes events, orders become what is said to them. One thread owns it; a turn is {@link
 * #begin}, whatever came, {@link #settle}.
 */
public final class Gateway implements DispatchActions, EngineTransport.Owner {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
  private static final long COUNT_EVERY = 10_000 * Units.TENTHS_PER_MS;
  private static final int HEAP_SHARE = 4;

  /** A turn that comes so much later than it was due means that this process stood still. */
  private static final long PAUSE_LEAST = 100 * Units.TENTHS_PER_MS;

  /**
   * With no client heard for so long after a pause, all that came in it has been read; and after so
   * long in any case.
   */
  private static final long CATCH_UP = 50 * Units.TENTHS_PER_MS;

  private static final long CATCH_UP_MOST = 1000 * Units.TENTHS_PER_MS;

  /** Connections, and the end, are looked after this often at the least. */
  private static final long SWEEP_MOST = 125 * Units.TENTHS_PER_MS;

  private final NetworkDriver driver;
  private final ClientRequestHandler clients;
  private final EndpointList engines;
  private final DiscoveryClient names;
  private final Discovery discovery;
  private final FencedRequests guarded;

  /** What stands beside the module, or null. */
  private GatewayExtension side;

  private final DispatchPolicy policy;
  private final InvariantMonitor invariants;
  private final Telemetry telemetry;
  private final RateLimitedWarning rarely = new RateLimitedWarning();
  private final ArrayDeque<Runnable> next = new ArrayDeque<>();
  private final long connectMost;

  /**
   * What is looked after on connections falls due after halves and wholes of the connect time-out:
   * an even part.
   */
  private final long sweepEvery;

  private final long idleMost;
  private final long holdMost;
  private final int maxConnections;
  private int links;
  private long now;
  private long wakeAt = Long.MAX_VALUE;
  private long sweepAt;

  /** When the next turn was due as of the last one. */
  private long expectedAt = Long.MAX_VALUE;

  /**
   * The last moment before a pause of this process, and until when what is read may have come in
   * it.
   */
  private long pausedFrom;

  private long unreadUntil = Long.MIN_VALUE;
  private long resumedAt;
  private long countAt;

  /** The module was told something and has not settled it. */
  private boolean unsettled;

  private EndpointListState listState = EndpointListState.AWAITED;
  private long listUsableUntil = -1;

  /** Attempts ordered in this turn. */
  private List<InFlightAttempt> ordered = new ArrayList<>();

  public Gateway(
      GatewayConfig assignment, DispatchPolicyFactory factory, NetworkDriver driver, long now) {
    this(assignment, factory, driver, now, null, null);
  }

  /** With a bound by this process' heap on what is kept for clients. */
  public Gateway(
      GatewayConfig assignment,
      DispatchPolicyFactory factory,
      NetworkDriver driver,
      long now,
      EngineTransport.Factory transports,
      EndpointCache endpointCache) {
    this(
        assignment,
        factory,
        driver,
        now,
        Runtime.getRuntime().maxMemory() / HEAP_SHARE,
        transports,
        endpointCache,
        Telemetry.logging());
  }

  /**
   * @param maxBytes how much may be kept for clients; beyond it no request is taken
   * @param transports how engines are reached, by their kinds; null, or null for an engine: over
   *     engine lines
   * @param endpointCache what is remembered across restarts; null: nothing
   * @param telemetry what it counts and logs
   */
  public Gateway(
      GatewayConfig assignment,
      DispatchPolicyFactory factory,
      NetworkDriver driver,
      long now,
      long maxBytes,
      EngineTransport.Factory transports,
      EndpointCache endpointCache,
      Telemetry telemetry) {
    this.driver = driver;
    this.telemetry = telemetry;
    this.now = now;
    Map<String, Object> plain = FlattenedConfig.of(assignment.terms());
    Settings terms = new Settings(plain);
    int streams = (int) Math.max(1, terms.number("caps.streams_per_conn", 1));
    long soon = shortestLatencyObjective(terms);
    connectMost = stated(terms, "caps.connect_timeout", soon);
    long half = connectMost / 2;
    sweepEvery = Math.max(1, half / (1 + (half - 1) / SWEEP_MOST));
    maxConnections = assignment.maxConnections();
    countAt = now + COUNT_EVERY;
    clients = new ClientRequestHandler(this, terms, assignment.maxClients(), maxBytes);
    // Engines that close nothing: whoever came before it fell idle waits no more.
    idleMost = stated(terms, "caps.conn_idle", 2 * clients.longestDeadline()) / 2;
    guarded = new FencedRequests(this, clients);
    engines =
        new EndpointList(
            terms,
            telemetry,
            this,
            (owner, site, kind) -> {
              EngineTransport transport =
                  transports == null ? null : transports.create(owner, site, kind);
              return transport == null
                  ? new LineProtocolTransport(owner, site, streams)
                  : transport;
            });
    // With no grace, or none stated, a drain is obeyed at once; asked for is only how fresh the
    // list is.
    long grace = stated(terms, "guarantees.drain_grace", soon);
    holdMost = Math.min(grace, connectMost) / 2;
    names = new DiscoveryClient(driver, assignment.seed(), now, grace, telemetry);
    invariants = new InvariantMonitor(terms);
    policy = factory.create(now, assignment.seed(), plain, this);
    discovery = new Discovery(engines, policy, invariants, endpointCache, telemetry);
    discovery.start(now, assignment.known());
    unsettled = true;
    telemetry
        .metrics()
        .gauge(
            "engine_list_version", "Number of the last event of the engine list.", engines::index);
    telemetry
        .metrics()
        .gauge("engine_connections", "Engine connections open or coming up.", () -> links);
    telemetry
        .metrics()
        .gauge(
            "requests_owed", "Requests taken and not yet answered.", () -> clients.owed().size());
  }

  private static long stated(Settings terms, String name, long otherwise) {
    long stated = terms.number(name, 0);
    return stated > 0 ? stated : otherwise;
  }

  /** The measure of what the settings leave out: what takes longer earns nothing in full. */
  private static long shortestLatencyObjective(Settings terms) {
    long shortest = Long.MAX_VALUE;
    for (int i = 0; i < terms.number("profiles", 0); i++) {
      String requestClass = "profiles." + i + ".";
      long deadline = stated(terms, requestClass + "hard_limit", COUNT_EVERY);
      shortest = Math.min(shortest, stated(terms, requestClass + "aim", deadline));
    }
    return Math.min(shortest, COUNT_EVERY);
  }

  /** What stands beside the module from now on. */
  public void beside(GatewayExtension stands) {
    side = stands;
    clients.beside(stands);
  }

  /** What the one beside may ask for. */
  public GatewayExtension.ExtensionContext door() {
    return guarded;
  }

  // ---- turns ----

  @Override
  public long now() {
    return now;
  }

  /** A turn begins; nothing in it is earlier than the turn before. */
  public void begin(long clock) {
    if (expectedAt != Long.MAX_VALUE && clock > Math.max(expectedAt, now) + PAUSE_LEAST) {
      paused(clock);
    }
    now = Math.max(now, clock);
    if (side != null) {
      side.beginIteration(now);
    }
    for (int i = next.size(); i > 0; i--) {
      next.poll().run();
    }
  }

  private void paused(long clock) {
    telemetry.metrics().add(Counter.PAUSES);
    telemetry
        .log()
        .event(
            clock, Topic.PROCESS, "process stood still", "ms", (clock - now) / Units.TENTHS_PER_MS);
    pausedFrom = now < unreadUntil ? pausedFrom : now;
    resumedAt = clock;
    unreadUntil = clock + CATCH_UP;
  }

  /**
   * A client was heard: if this goes on from a pause without a gap, what follows may have come in
   * it as well.
   */
  private void clientHeard() {
    if (now < unreadUntil) {
      unreadUntil = Math.max(unreadUntil, Math.min(now + CATCH_UP, resumedAt + CATCH_UP_MOST));
    }
  }

  /** All that came in this turn was told: what is due follows, then the module settles once. */
  public void settle() {
    if (now >= sweepAt) {
      sweepAt = now + sweepEvery;
      sweep();
    }
    names.sweep(now);
    watchList();
    if (side != null) {
      side.endIteration(now);
    }
    if (now >= wakeAt) {
      wakeAt = Long.MAX_VALUE;
      policy.onWakeup(now);
      unsettled = true;
    }
    if (unsettled) {
      unsettled = false;
      policy.applyDecisions(now);
    }
    if (!ordered.isEmpty()) {
      List<InFlightAttempt> batch = ordered;
      ordered = new ArrayList<>();
      driver.runAfterPendingReads(() -> batch.forEach(this::begin));
    }
    driver.flush();
    expectedAt = dueAt();
  }

  /**
   * When what is read now may have come at the earliest: while this process stood still, if it just
   * did.
   */
  long earliestArrival() {
    clientHeard();
    return now < unreadUntil ? pausedFrom : now;
  }

  /** Tells the module when the list may be used for longer, or no more. */
  private void watchList() {
    // A list from memory is known to be old, and the module weighs how far it trusts each engine of
    // it.
    boolean remembered = discovery.goesByMemory();
    EndpointListState state = remembered ? EndpointListState.DEGRADED : names.lease().state(now);
    long usableUntil = remembered ? Long.MAX_VALUE : names.lease().usableUntil(now);
    if (state != listState) {
      telemetry
          .log()
          .event(
              now,
              Topic.DISCOVERY,
              "trust in the engine list changed",
              "from",
              listState,
              "to",
              state,
              "list_age_ms",
              names.lease().age(now) / Units.TENTHS_PER_MS,
              "version",
              engines.index());
    }
    if (state != listState || usableUntil != listUsableUntil) {
      listState = state;
      listUsableUntil = usableUntil;
      policy.onEndpointListStateChanged(now, state, usableUntil);
      unsettled = true;
    }
  }

  /** Whether an answer of the discovery service stands for the list that is in force. */
  public boolean listConfirmed() {
    return names.lease().state(now) == EndpointListState.CONFIRMED;
  }

  /** When the next turn is due though nothing comes. */
  public long dueAt() {
    long dueAt = next.isEmpty() ? Math.min(Math.min(wakeAt, sweepAt), names.dueAt(now)) : now;
    return side == null ? dueAt : Math.min(dueAt, side.nextDueAt());
  }

  private void sweep() {
    engines.sweep(connectMost, idleMost);
    clients.sweep();
    if (now >= countAt) {
      countAt = now + COUNT_EVERY;
      LOG.atInfo()
          .addKeyValue("links", links)
          .addKeyValue("list", engines.index())
          .log("{}", clients);
    }
  }

  // ---- clients ----

  /** Calls back, in this turn or a later one, once all that can be read by now was told. */
  void afterReading(Runnable then) {
    driver.runAfterPendingReads(then);
  }

  /** A client has connected. */
  public Channel.Owner accepted(Channel channel) {
    clientHeard();
    return clients.accepted(channel);
  }

  @Override
  public Telemetry telemetry() {
    return telemetry;
  }

  void arrived(PendingResponse call) {
    telemetry.metrics().add(Counter.REQUESTS_TAKEN);
    invariants.onRequestAccepted(now);
    policy.onRequestArrived(now, call.request);
    unsettled = true;
  }

  void left(PendingResponse call) {
    telemetry.metrics().add(Counter.REQUESTS_ABANDONED);
    policy.onClientDisconnected(now, call.request);
    unsettled = true;
  }

  /** Nobody waits for its answer any more, though its client may call again; or it has. */
  void unattended(PendingResponse call, boolean on) {
    if (!call.settled() && call.request.unattended != on) {
      policy.onClientAttendanceChanged(now, call.request, on);
      unsettled = true;
    }
  }

  /**
   * The client's time is up: attempts that are still out end so. The engine knows the limit and is
   * told nothing.
   */
  void overdue(PendingResponse call) {
    call.inFlightAttempts.forEach(inFlight -> attemptEnded(inFlight, AttemptOutcome.TIMED_OUT));
  }

  @Override
  public void retainedBytesChanged(long more) {
    clients.held(more);
  }

  // ---- engines ----

  @Override
  public void attemptProgressed(InFlightAttempt inFlight, AttemptProgress note, double level) {
    policy.onAttemptProgress(now, inFlight.attempt, note, level);
    unsettled = true;
  }

  @Override
  public void attemptWritten(InFlightAttempt inFlight) {
    guarded.written(inFlight);
  }

  @Override
  public void attemptEnded(InFlightAttempt inFlight, AttemptOutcome how) {
    if (!inFlight.attempt.isInFlight()) {
      return;
    }
    transport(inFlight).release(inFlight);
    AttemptOutcome outcome = inFlight.guarded() ? guarded.ended(inFlight, how) : how;
    if (outcome == AttemptOutcome.SUCCEEDED) {
      clients.fulfil(inFlight.call, ResultEncoder.answer(inFlight.pages));
    }
    inFlight.forgetAnswer();
    retainedBytesChanged(-inFlight.bytes);
    long lag = now - inFlight.attempt.sentAt;
    countEnd(inFlight, outcome, lag);
    policy.onAttemptEnded(now, inFlight.attempt, outcome, lag, inFlight.call.settled(), 0, 0, null);
    unsettled = true;
  }

  private void countEnd(InFlightAttempt inFlight, AttemptOutcome outcome, long lag) {
    telemetry.metrics().add(Counter.ATTEMPTS_ENDED, outcome);
    if (outcome == AttemptOutcome.SUCCEEDED) {
      telemetry.metrics().add(Counter.REQUESTS_ANSWERED);
    } else {
      telemetry
          .log()
          .event(
              now,
              Topic.ATTEMPT,
              "attempt ended",
              "id",
              inFlight.id(),
              "attempt",
              inFlight.attempt.number,
              "engine",
              engineId(inFlight),
              "outcome",
              outcome,
              "after_ms",
              lag / Units.TENTHS_PER_MS,
              "written",
              inFlight.place != InFlightAttempt.UNSENT);
    }
  }

  private static String engineId(InFlightAttempt inFlight) {
    return ((EngineAddress) inFlight.attempt.engine.tag).id;
  }

  private static EngineTransport transport(InFlightAttempt inFlight) {
    return ((EngineAddress) inFlight.attempt.engine.tag).transport;
  }

  @Override
  public void runInNextIteration(Runnable what) {
    next.add(what);
  }

  @Override
  public Channel connect(InetSocketAddress to, Channel.Owner owner) {
    return driver.connect(to, owner);
  }

  @Override
  public int maxConnections() {
    return maxConnections;
  }

  @Override
  public int openConnections() {
    return links;
  }

  @Override
  public boolean reserveConnection() {
    return links < maxConnections || engines.endIdle();
  }

  @Override
  public long maxWriteDelay() {
    return holdMost;
  }

  @Override
  public int engineCount() {
    return engines.size();
  }

  @Override
  public void connectionCountChanged(int more) {
    links += more;
  }

  // ---- the discovery service ----

  /** The driver asks it elsewhere from now on. */
  public void discoveryAddressChanged() {
    names.moved(now);
  }

  /** A datagram of the discovery service. */
  public void told(byte[] datagram) {
    try {
      unsettled |= discovery.listed(now, names.take(now, datagram, engines.index()));
    } catch (IllegalArgumentException e) {
      telemetry.metrics().add(Counter.DISCOVERY_UNUSABLE_ANSWERS);
      warnRateLimited("name service: " + e.getMessage());
    }
  }

  // ---- orders ----

  @Override
  public void updatePriorityAndGrant(Request request, int rank, long grant) {
    // This protocol has no word for either.
  }

  @Override
  public void sendAttempt(Attempt attempt) {
    PendingResponse call = (PendingResponse) attempt.request.tag;
    InFlightAttempt inFlight =
        new InFlightAttempt(attempt, call, wanted -> policy.checkWrite(now, wanted));
    call.inFlightAttempts.add(inFlight);
    ordered.add(inFlight);
    telemetry.metrics().add(Counter.ATTEMPTS_ORDERED);
    if (attempt.number > 0) {
      telemetry.metrics().add(Counter.ATTEMPTS_REPEATED);
      telemetry
          .log()
          .event(
              now,
              Topic.ATTEMPT,
              "attempt repeated",
              "id",
              inFlight.id(),
              "attempt",
              attempt.number,
              "engine",
              engineId(inFlight),
              "after",
              attempt.request.attempts.get(attempt.number - 1).outcome);
    }
  }

  /**
   * Guards those whose client closed in the moment of the order: what could be read by then was
   * taken in since, and the attempt is looked at once more.
   */
  private void begin(InFlightAttempt inFlight) {
    if (!inFlight.attempt.isInFlight()) {
      return;
    }
    SendVerdict verdict = inFlight.mayBePlaced();
    if (verdict == SendVerdict.ALLOWED) {
      transport(inFlight).send(inFlight);
    } else {
      attemptWithheld(inFlight, verdict);
      next.add(() -> attemptEnded(inFlight, AttemptOutcome.NOT_SENT));
    }
  }

  @Override
  public long writeDeadline(InFlightAttempt inFlight) {
    return policy.writeDeadline(now, inFlight.attempt);
  }

  @Override
  public void attemptSent(InFlightAttempt inFlight, long firstByteAt, long before, long limit) {
    telemetry.metrics().add(Counter.ATTEMPTS_WRITTEN);
    report(
        invariants.checkWritten(
            new InvariantMonitor.Written(inFlight.attempt, firstByteAt, before, limit)),
        inFlight.call,
        engineId(inFlight));
  }

  /** An answer is ready that a client is owed. */
  void answered(PendingResponse call) {
    if (now < unreadUntil && pausedFrom <= call.request.clientDeadline) {
      // Its time ran out while this process stood still, which no program can help; the pause is
      // counted.
      return;
    }
    report(invariants.checkAnswer(now, call.request), call, "none");
  }

  private void report(Set<Invariant> broken, PendingResponse call, String engine) {
    for (Invariant invariant : broken) {
      telemetry.metrics().add(Counter.INVARIANT_VIOLATIONS, invariant);
      telemetry
          .log()
          .event(
              now,
              Topic.INVARIANT,
              "invariant violated",
              "invariant",
              invariant,
              "id",
              call.ask.id(),
              "engine",
              engine,
              "attempts",
              call.inFlightAttempts.size(),
              "list",
              listState,
              "version",
              engines.index());
    }
  }

  @Override
  public void attemptWithheld(InFlightAttempt inFlight, SendVerdict verdict) {
    telemetry.metrics().add(Counter.ATTEMPTS_WITHHELD, verdict);
    telemetry
        .log()
        .event(
            now,
            Topic.ATTEMPT,
            "attempt withheld",
            "id",
            inFlight.id(),
            "attempt",
            inFlight.attempt.number,
            "engine",
            engineId(inFlight),
            "reason",
            verdict);
  }

  @Override
  public void cancelAttempt(Attempt attempt) {
    InFlightAttempt inFlight =
        ((PendingResponse) attempt.request.tag).inFlightAttempts.get(attempt.number);
    if (attempt.isInFlight()) {
      AttemptOutcome outcome = transport(inFlight).abandon(inFlight);
      telemetry
          .log()
          .event(
              now,
              Topic.ATTEMPT,
              "attempt given up",
              "id",
              inFlight.id(),
              "attempt",
              attempt.number,
              "engine",
              engineId(inFlight),
              "client_left",
              inFlight.call.left,
              "request_ended",
              attempt.request.outcome != null);
      next.add(() -> attemptEnded(inFlight, outcome));
    }
  }

  @Override
  public void rejectRequest(Request request, long retryAfter) {
    countGivenUp(Counter.REQUESTS_REFUSED, request);
    clients.reject((PendingResponse) request.tag, retryAfter);
  }

  @Override
  public void failRequest(Request request) {
    countGivenUp(Counter.REQUESTS_FAILED, request);
    clients.fail((PendingResponse) request.tag);
  }

  private void countGivenUp(Counter counter, Request request) {
    PendingResponse call = (PendingResponse) request.tag;
    if (request.terminationReason == null) {
      telemetry.metrics().add(counter);
    } else {
      telemetry.metrics().add(counter, request.terminationReason);
    }
    telemetry
        .log()
        .event(
            now,
            Topic.REQUEST,
            counter == Counter.REQUESTS_REFUSED ? "request refused" : "request failed",
            "id",
            call.ask.id(),
            "reason",
            request.terminationReason,
            "attempts",
            request.attempts.size(),
            "after_ms",
            (now - request.arrivedAt) / Units.TENTHS_PER_MS);
  }

  @Override
  public void scheduleWakeup(long at) {
    wakeAt = Math.min(wakeAt, at);
  }

  @Override
  public void watchEndpoints() {
    // The discovery service is asked all the time.
  }

  @Override
  public void log(String line) {
    warnRateLimited(line);
  }

  @Override
  public void warnRateLimited(String line) {
    rarely.warn(now, line);
  }

  // ---- the end ----

  /** From now on the gateway is on its way out; it goes on serving what comes. */
  public void drain() {
    clients.drain();
    if (side != null) {
      side.onDrain();
    }
  }

  /** No client waits longer than this. */
  public long longestDeadline() {
    return clients.longestDeadline();
  }

  /** Whether every answer is out. */
  public boolean allAnswered() {
    return clients.allAnswered();
  }

  /** Nothing further is taken; connections end once nothing is owed on them. */
  public void close() {
    clients.close();
  }

  /** Whether no client is connected any more. */
  public boolean deserted() {
    return clients.deserted();
  }

  /** Time is up: the module words the final answer to what is left. */
  public void endAll() {
    if (side != null) {
      side.onShutdownDeadline();
    }
    clients.owed().forEach(call -> policy.onShutdownDeadline(now, call.request));
    unsettled = true;
  }

  /** How many requests were taken and have no final answer. */
  public int owed() {
    return clients.owed().size();
  }
}
