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
 * One engine process: it runs requests on shared cores, reports their progress, keeps result pages,
 * and refuses requests while it drains or is full.
 */
public final class EmulatedEngine {
  /** Faults of a request; the number is the choice of {@link FaultChooser}. */
  private static final class RequestFault {
    static final int REFUSED = 1;
    static final int FAILED = 2;
    static final int NEVER_ANSWERED = 3;
    static final int COUNT = 4;
  }

  private static final int SESSIONS_PER_CORE = 16;
  private static final int TICKS_PER_MS = 10;

  private static final long WARM_UP_STEP = 1000;
  private static final long RESULT_RETENTION = 10 * Fleet.SECOND;
  private static final long ALREADY_WARM = 0;

  /** A running request. */
  private static final class Query {
    private final ServerConnection connection;
    private final String id;
    private final SharedCpu.Load load;
    private boolean ended;

    /** Runs without ever sending a reply. */
    private boolean mute;

    Query(ServerConnection connection, String id, double work, int threads, double memory) {
      this.connection = connection;
      this.id = id;
      load = new SharedCpu.Load(this, threads, memory, work);
    }
  }

  public final EngineSpec spec;
  public final int index;
  final long startedAt;
  private final EmulatedCluster cluster;
  private final SharedCpu cores;
  private final int maxSessions;

  /** Running requests by connection and id. */
  private final Map<ServerConnection, Map<String, Query>> running = new LinkedHashMap<>();

  private final Set<ServerConnection> connections = new LinkedHashSet<>();

  /** Results whose pages can still be fetched, and until when. */
  private final LinkedHashMap<String, Long> results = new LinkedHashMap<>();

  private long checkAt = Long.MAX_VALUE;
  private boolean silent;
  private boolean draining;
  private boolean ended;

  /**
   * @param startedAt when it started cold, or 0 if it is warm already
   */
  EmulatedEngine(EmulatedCluster cluster, EngineSpec spec, int index, long startedAt) {
    this.cluster = cluster;
    this.spec = spec;
    this.index = index;
    this.startedAt = startedAt;
    EngineKind kind = cluster.fleet.kinds().get(spec.kind());
    cores = new SharedCpu(kind.cores(), kind.memory());
    maxSessions = kind.cores() * SESSIONS_PER_CORE;
    cores.advance(cluster.now());
    warmUp();
  }

  private void warmUp() {
    long age = cluster.now() - startedAt;
    long within = cluster.fleet.warmupTime();
    if (startedAt == ALREADY_WARM || age >= within || ended) {
      cores.warmth(1);
      return;
    }
    double start = cluster.fleet.startCapacity();
    cores.advance(cluster.now());
    cores.warmth(start + (1 - start) * age / within);
    finishEnded();
    cluster.timeline.at(cluster.now() + WARM_UP_STEP, this::warmUp);
  }

  // ---- connections ----

  /** Whether connects to it succeed. */
  public boolean takesConnections() {
    return !silent && !ended;
  }

  /** Whether it neither reads nor writes, as a machine that is cut off. */
  public boolean isSilent() {
    return silent && !ended;
  }

  /** A connection to it has opened. */
  public void onConnected(ServerConnection connection) {
    connections.add(connection);
  }

  /** A connection to it has ended; its requests stop. */
  public void onDisconnected(ServerConnection connection) {
    connections.remove(connection);
    Map<String, Query> stopped = running.remove(connection);
    if (stopped != null) {
      cores.advance(cluster.now());
      stopped.values().forEach(this::stop);
      finishEnded();
    }
  }

  private void stop(Query query) {
    query.ended = true;
    cores.remove(query.load);
  }

  /** Handles a command of a gateway. */
  public void onCommand(ServerConnection connection, Command command) {
    if (silent || ended) {
      return;
    }
    switch (command.word()) {
      case WANT -> submit(connection, command);
      case NEVER_MIND -> {
        Query query = query(connection, command.id());
        if (query != null) {
          cancel(query);
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

  private Query query(ServerConnection connection, String id) {
    Map<String, Query> byId = running.get(connection);
    return byId == null ? null : byId.get(id);
  }

  private void forget(Query query) {
    Map<String, Query> byId = running.get(query.connection);
    if (byId != null && byId.remove(query.id, query) && byId.isEmpty()) {
      running.remove(query.connection);
    }
  }

  private void submit(ServerConnection connection, Command command) {
    EmulatedCluster.RequestCost cost = cluster.requestCost(command.id());
    int fault = cluster.faults().choose("engine", RequestFault.COUNT);
    if (fault == RequestFault.FAILED) {
      connection.reply(EngineReply.error(command.id()));
      return;
    }
    if (fault == RequestFault.REFUSED || draining || cores.running() >= maxSessions) {
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
      // A repeat is recognized at once and does not run again.
      work = 1;
    } else {
      cluster.auditor.onAttemptExecuted(cluster.now(), spec.name(), command.id(), work);
    }
    cores.advance(cluster.now());
    Query query = new Query(connection, command.id(), work, cost.threads(), cost.memory());
    query.mute = fault == RequestFault.NEVER_ANSWERED;
    running.computeIfAbsent(connection, l -> new LinkedHashMap<>()).put(command.id(), query);
    cores.add(query.load);
    finishEnded();
    cluster.timeline.at(
        cluster.now() + cluster.fleet.progressInterval(), () -> reportProgress(query));
    cluster.timeline.at(
        cluster.now() + Math.max(1, command.limit()) * TICKS_PER_MS, () -> expire(query));
  }

  /** Stops a request by itself when the gateway waits for it no longer. */
  private void expire(Query query) {
    if (!query.ended) {
      cancel(query);
    }
  }

  private void cancel(Query query) {
    cores.advance(cluster.now());
    forget(query);
    stop(query);
    finishEnded();
  }

  private void reportProgress(Query query) {
    if (query.ended || ended) {
      return;
    }
    if (!silent && !query.mute) {
      cores.advance(cluster.now());
      double missing = cores.megabytesMissing();
      double shareDone = Math.rint(cores.shareDone(query.load) * 1000) / 1000;
      query.connection.reply(
          missing > 0
              ? EngineReply.progress(query.id, "missing", Math.rint(missing))
              : EngineReply.progress(query.id, "frac", shareDone));
    }
    cluster.timeline.at(
        cluster.now() + cluster.fleet.progressInterval(), () -> reportProgress(query));
  }

  /** Finishes the requests that have ended, and schedules the next check. */
  private void finishEnded() {
    for (SharedCpu.Load load : cores.takeEnded()) {
      finish((Query) load.owner);
    }
    long next = cores.nextEnd();
    if (next < checkAt || checkAt < cluster.now()) {
      checkAt = next;
      if (next != Long.MAX_VALUE) {
        cluster.timeline.at(next, this::check);
      }
    }
  }

  private void check() {
    if (ended || cluster.now() < checkAt) {
      return;
    }
    checkAt = Long.MAX_VALUE;
    cores.advance(cluster.now());
    finishEnded();
  }

  private void finish(Query query) {
    query.ended = true;
    forget(query);
    if (silent || query.mute) {
      return;
    }
    int pages = Results.pages(query.id);
    if (pages > 1 || cluster.fleet.kinds().get(spec.kind()).http2()) {
      keepResult(query.id);
    }
    query.connection.reply(EngineReply.ok(query.id, pages, Results.page(query.id, 0)));
  }

  private void keepResult(String id) {
    results.remove(id);
    results.put(id, cluster.now() + RESULT_RETENTION);
    while (results.values().iterator().next() < cluster.now()) {
      results.remove(results.keySet().iterator().next());
    }
  }

  // ---- troubles ----

  void slow(double factor) {
    cores.advance(cluster.now());
    cores.slowness(factor);
    finishEnded();
  }

  void silence(boolean whether) {
    silent = whether;
  }

  void drain() {
    draining = true;
  }

  /** Ends the process; its connections are reset. */
  void end() {
    ended = true;
    cores.clear();
    running.clear();
    List<ServerConnection> open = new ArrayList<>(connections);
    connections.clear();
    open.forEach(connection -> connection.disconnect(DisconnectReason.RESET));
  }

  /** Whether the process has ended. */
  public boolean isEnded() {
    return ended;
  }

  double coreTimeUsed() {
    cores.advance(cluster.now());
    return cores.coreTimeUsed();
  }

  int running() {
    return cores.running();
  }

  /** The share of its cores that it has used over that time. */
  double utilization(long time) {
    return coreTimeUsed() / time / cluster.fleet.kinds().get(spec.kind()).cores();
  }
}
