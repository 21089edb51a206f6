package tillerlink.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tillerlink.fakes.EngineCommandParser.Command;
import tillerlink.fakes.EngineReply;
import tillerlink.fakes.Results;
import tillerlink.fleet.EngineKind;
import tillerlink.fleet.EngineSpec;
import tillerlink.fleet.Fleet;
import tillerlink.net.state.DisconnectReason;

/**
 * An emulated engine process. It runs requests on shared cores, reports their progress, stores
 * results for paging, and refuses requests while it drains or all its sessions are in use.
 */
public final class EmulatedEngine {
  /** The faults of a request, numbered as {@link FaultChooser} chooses them. */
  private static final class RequestFault {
    static final int REFUSED = 1;
    static final int FAILED = 2;
    static final int NEVER_ANSWERED = 3;

    /** The number of choices, including 0 for no fault. */
    static final int COUNT = 4;
  }

  private static final int SESSIONS_PER_CORE = 16;
  private static final int TENTHS_PER_MS = 10;

  /** The interval between rises of the capacity while warming up, in tenths of a millisecond. */
  private static final long WARM_UP_STEP = 1000;

  /** The time for which the pages of a result can be fetched, in tenths of a millisecond. */
  private static final long RESULT_RETENTION = 10 * Fleet.SECOND;

  /** The start time of an engine that is not warming up. */
  private static final long ALREADY_WARM = 0;

  /** A request that is running on the engine. */
  private static final class RunningRequest {
    private final ServerConnection connection;
    private final String id;
    private final SharedCpu.Load load;
    private boolean ended;

    /** Set if it runs without ever sending a reply, because of an injected fault. */
    private boolean withholdsReply;

    RunningRequest(
        ServerConnection connection, String id, double work, int threads, double memory) {
      this.connection = connection;
      this.id = id;
      load = new SharedCpu.Load(this, threads, memory, work);
    }
  }

  public final EngineSpec spec;
  public final int index;
  final long startedAt;
  private final EmulatedCluster cluster;
  private final SharedCpu cpu;
  private final int maxSessions;

  /** The running requests, by connection and id. */
  private final Map<ServerConnection, Map<String, RunningRequest>> running = new LinkedHashMap<>();

  private final Set<ServerConnection> connections = new LinkedHashSet<>();

  /** The ids of the results whose pages can be fetched, with their times of expiry. */
  private final LinkedHashMap<String, Long> results = new LinkedHashMap<>();

  /** The time of the next check for ended requests; {@code Long.MAX_VALUE} if there is none. */
  private long nextCheckAt = Long.MAX_VALUE;

  private boolean silent;
  private boolean draining;
  private boolean ended;

  /**
   * Creates an engine and starts it.
   *
   * @param cluster the cluster that it belongs to
   * @param spec its name, kind and zone
   * @param index its number in the order of starts
   * @param startedAt when it started cold, in tenths of a millisecond, or 0 if it is not warming up
   */
  EmulatedEngine(EmulatedCluster cluster, EngineSpec spec, int index, long startedAt) {
    this.cluster = cluster;
    this.spec = spec;
    this.index = index;
    this.startedAt = startedAt;
    EngineKind kind = cluster.fleet.kinds().get(spec.kind());
    cpu = new SharedCpu(kind.cores(), kind.memory());
    maxSessions = kind.cores() * SESSIONS_PER_CORE;
    cpu.advance(cluster.now());
    warmUp();
  }

  /** Sets the capacity for the current age and schedules the next step until it is warm. */
  private void warmUp() {
    long age = cluster.now() - startedAt;
    long warmupTime = cluster.fleet.warmupTime();
    if (startedAt == ALREADY_WARM || age >= warmupTime || ended) {
      cpu.setWarmth(1);
      return;
    }
    double startCapacity = cluster.fleet.startCapacity();
    cpu.advance(cluster.now());
    cpu.setWarmth(startCapacity + (1 - startCapacity) * age / warmupTime);
    finishEnded();
    cluster.timeline.at(cluster.now() + WARM_UP_STEP, this::warmUp);
  }

  // ---- connections ----

  /** Returns whether it accepts connections. */
  public boolean acceptsConnections() {
    return !silent && !ended;
  }

  /** Returns whether it neither reads nor writes, like a host that is cut off from the network. */
  public boolean isSilent() {
    return silent && !ended;
  }

  /** Records that a connection to it has opened. */
  public void onConnected(ServerConnection connection) {
    connections.add(connection);
  }

  /** Records that a connection to it has ended, and stops the requests on it. */
  public void onDisconnected(ServerConnection connection) {
    connections.remove(connection);
    Map<String, RunningRequest> stopped = running.remove(connection);
    if (stopped != null) {
      cpu.advance(cluster.now());
      stopped.values().forEach(this::stop);
      finishEnded();
    }
  }

  private void stop(RunningRequest request) {
    request.ended = true;
    cpu.remove(request.load);
  }

  /** Handles a command of a gateway; ignores it if the engine is silent or has ended. */
  public void onCommand(ServerConnection connection, Command command) {
    if (silent || ended) {
      return;
    }
    switch (command.word()) {
      case WANT -> submit(connection, command);
      case NEVER_MIND -> {
        RunningRequest request = findRunning(connection, command.id());
        if (request != null) {
          cancel(request);
        }
      }
      case TURN ->
          connection.reply(
              results.containsKey(command.id())
                  ? EngineReply.batch(
                      command.id(), command.page(), Results.page(command.id(), command.page()))
                  : EngineReply.error(command.id()));
      case SHUT -> results.remove(command.id());
      default -> connection.reply(EngineReply.yes(command.id()));
    }
  }

  private RunningRequest findRunning(ServerConnection connection, String id) {
    Map<String, RunningRequest> byId = running.get(connection);
    return byId == null ? null : byId.get(id);
  }

  private void forget(RunningRequest request) {
    Map<String, RunningRequest> byId = running.get(request.connection);
    if (byId != null && byId.remove(request.id, request) && byId.isEmpty()) {
      running.remove(request.connection);
    }
  }

  private void submit(ServerConnection connection, Command command) {
    EmulatedCluster.RequestCost cost = cluster.requestCost(command.id());
    int fault = cluster.faults().choose("engine", RequestFault.COUNT);
    if (fault == RequestFault.FAILED) {
      connection.reply(EngineReply.error(command.id()));
      return;
    }
    if (fault == RequestFault.REFUSED || draining || cpu.running() >= maxSessions) {
      connection.reply(EngineReply.refused(command.id()));
      return;
    }
    if (cost == null) {
      connection.reply(EngineReply.error(command.id()));
      return;
    }
    double work = cost.work();
    if (command.nonce() != null
        && !cluster.deduplicationLog.isFirst(cluster.now(), command.nonce())) {
      // A repeat is recognized by its idempotency key and answered at once instead of run again.
      work = 1;
    } else {
      cluster.auditor.onAttemptExecuted(cluster.now(), spec.name(), command.id(), work);
    }
    cpu.advance(cluster.now());
    RunningRequest request =
        new RunningRequest(connection, command.id(), work, cost.threads(), cost.memory());
    request.withholdsReply = fault == RequestFault.NEVER_ANSWERED;
    running.computeIfAbsent(connection, any -> new LinkedHashMap<>()).put(command.id(), request);
    cpu.add(request.load);
    finishEnded();
    cluster.timeline.at(
        cluster.now() + cluster.fleet.progressInterval(), () -> reportProgress(request));
    cluster.timeline.at(
        cluster.now() + Math.max(1, command.limit()) * TENTHS_PER_MS, () -> expire(request));
  }

  /** Stops a request whose time limit has passed, because the gateway no longer waits for it. */
  private void expire(RunningRequest request) {
    if (!request.ended) {
      cancel(request);
    }
  }

  private void cancel(RunningRequest request) {
    cpu.advance(cluster.now());
    forget(request);
    stop(request);
    finishEnded();
  }

  /** Sends a progress report for a request and schedules the next one. */
  private void reportProgress(RunningRequest request) {
    if (request.ended || ended) {
      return;
    }
    if (!silent && !request.withholdsReply) {
      cpu.advance(cluster.now());
      double megabytesMissing = cpu.megabytesMissing();
      double shareDone = Math.rint(cpu.shareDone(request.load) * 1000) / 1000;
      request.connection.reply(
          megabytesMissing > 0
              ? EngineReply.progress(request.id, "missing", Math.rint(megabytesMissing))
              : EngineReply.progress(request.id, "frac", shareDone));
    }
    cluster.timeline.at(
        cluster.now() + cluster.fleet.progressInterval(), () -> reportProgress(request));
  }

  /** Sends the replies of the requests that have ended and schedules the next check. */
  private void finishEnded() {
    for (SharedCpu.Load load : cpu.takeEnded()) {
      finish((RunningRequest) load.owner);
    }
    long next = cpu.nextEnd();
    if (next < nextCheckAt || nextCheckAt < cluster.now()) {
      nextCheckAt = next;
      if (next != Long.MAX_VALUE) {
        cluster.timeline.at(next, this::checkEnded);
      }
    }
  }

  private void checkEnded() {
    if (ended || cluster.now() < nextCheckAt) {
      return;
    }
    nextCheckAt = Long.MAX_VALUE;
    cpu.advance(cluster.now());
    finishEnded();
  }

  private void finish(RunningRequest request) {
    request.ended = true;
    forget(request);
    if (silent || request.withholdsReply) {
      return;
    }
    int pages = Results.pages(request.id);
    if (pages > 1 || cluster.fleet.kinds().get(spec.kind()).http2()) {
      storeResult(request.id);
    }
    request.connection.reply(EngineReply.ok(request.id, pages, Results.page(request.id, 0)));
  }

  /** Stores a result for paging and removes those that have expired. */
  private void storeResult(String id) {
    results.remove(id);
    results.put(id, cluster.now() + RESULT_RETENTION);
    while (results.values().iterator().next() < cluster.now()) {
      results.remove(results.keySet().iterator().next());
    }
  }

  // ---- faults ----

  /** Sets the factor by which all requests run slower than normal, which is 1. */
  void setSlowness(double factor) {
    cpu.advance(cluster.now());
    cpu.setSlowness(factor);
    finishEnded();
  }

  /** Sets whether it neither reads nor writes, like a host that is cut off from the network. */
  void setSilent(boolean isSilent) {
    silent = isSilent;
  }

  /** Makes it refuse all new requests from now on. */
  void drain() {
    draining = true;
  }

  /** Ends the process and resets its connections. */
  void end() {
    ended = true;
    cpu.clear();
    running.clear();
    List<ServerConnection> open = new ArrayList<>(connections);
    connections.clear();
    open.forEach(connection -> connection.disconnect(DisconnectReason.RESET));
  }

  /** Returns whether the process has ended. */
  public boolean isEnded() {
    return ended;
  }

  /** Returns the core-time that it has used so far, in tenths of a millisecond. */
  double coreTimeUsed() {
    cpu.advance(cluster.now());
    return cpu.coreTimeUsed();
  }

  /** Returns the number of running requests. */
  int running() {
    return cpu.running();
  }

  /**
   * Returns the share of its cores that it has used.
   *
   * @param time the duration over which it is averaged, in tenths of a millisecond
   */
  double utilization(long time) {
    return coreTimeUsed() / time / cluster.fleet.kinds().get(spec.kind()).cores();
  }
}
