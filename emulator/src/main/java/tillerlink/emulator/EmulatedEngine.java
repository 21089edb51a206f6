package tillerlink.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tillerlink.fakes.EngineCommands.Command;
import tillerlink.fakes.EngineReplies;
import tillerlink.fakes.Results;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.Kind;
import tillerlink.fleet.Spec;
import tillerlink.net.state.DisconnectReason;

/**
 * One engine process: it runs what it is sent on shared cores, tells now and then how far it is,
 * keeps pages, refuses while it drains or is full, and says nothing that an engine of the platform
 * would not say.
 */
public final class EmulatedEngine {
  private static final int SESSIONS_PER_CORE = 16;
  private static final long WARM_STEP = 1000;
  private static final long PAGES_KEPT = 10 * Fleet.SECOND;
  private static final long LONG_AGO = 0;

  /** A request in hand. */
  private static final class Query {
    private final Peer link;
    private final String id;
    private final Cores.Load load;
    private boolean over;

    /** Runs, and nothing is ever said of it. */
    private boolean mute;

    Query(Peer link, String id, double work, int threads, double memory) {
      this.link = link;
      this.id = id;
      load = new Cores.Load(this, threads, memory, work);
    }
  }

  public final Spec spec;
  public final int place;
  final long startedAt;
  private final World world;
  private final Cores cores;
  private final int sessionsMost;

  /** In hand by connection and id. */
  private final Map<Peer, Map<String, Query>> open = new LinkedHashMap<>();

  private final Set<Peer> links = new LinkedHashSet<>();

  /** Results whose pages may still be asked for, and until when. */
  private final LinkedHashMap<String, Long> results = new LinkedHashMap<>();

  private long checkAt = Long.MAX_VALUE;
  private boolean silent;
  private boolean draining;
  private boolean ended;

  /**
   * @param startedAt when it came up cold, or 0 for long ago
   */
  EmulatedEngine(World world, Spec spec, int place, long startedAt) {
    this.world = world;
    this.spec = spec;
    this.place = place;
    this.startedAt = startedAt;
    Kind kind = world.fleet.kinds().get(spec.kind());
    cores = new Cores(kind.cores(), kind.memory());
    sessionsMost = kind.cores() * SESSIONS_PER_CORE;
    cores.advance(world.now());
    warm();
  }

  private void warm() {
    long age = world.now() - startedAt;
    long within = world.fleet.warmWithin();
    if (startedAt == LONG_AGO || age >= within || ended) {
      cores.warmth(1);
      return;
    }
    double start = world.fleet.startCapacity();
    cores.advance(world.now());
    cores.warmth(start + (1 - start) * age / within);
    look();
    world.timeline.at(world.now() + WARM_STEP, this::warm);
  }

  // ---- connections ----

  public boolean takesConnections() {
    return !silent && !ended;
  }

  public boolean isSilent() {
    return silent && !ended;
  }

  public void connected(Peer link) {
    links.add(link);
  }

  public void disconnected(Peer link) {
    links.remove(link);
    Map<String, Query> gone = open.remove(link);
    if (gone != null) {
      cores.advance(world.now());
      gone.values().forEach(this::stop);
      look();
    }
  }

  private void stop(Query query) {
    query.over = true;
    cores.remove(query.load);
  }

  /** What a gateway said has come. */
  public void heard(Peer link, Command command) {
    if (silent || ended) {
      return;
    }
    switch (command.word()) {
      case WANT -> want(link, command);
      case NEVER_MIND -> {
        Query query = query(link, command.id());
        if (query != null) {
          cores.advance(world.now());
          forget(query);
          stop(query);
          look();
        }
      }
      case TURN ->
          link.say(
              results.containsKey(command.id())
                  ? EngineReplies.batch(
                      command.id(), command.page(), Results.page(command.id(), command.page()))
                  : EngineReplies.error(command.id()));
      case SHUT -> results.remove(command.id());
      default -> link.say(EngineReplies.yes(command.id()));
    }
  }

  private Query query(Peer link, String id) {
    Map<String, Query> there = open.get(link);
    return there == null ? null : there.get(id);
  }

  private void forget(Query query) {
    Map<String, Query> there = open.get(query.link);
    if (there != null && there.remove(query.id, query) && there.isEmpty()) {
      open.remove(query.link);
    }
  }

  private void want(Peer link, Command command) {
    World.Job job = world.job(command.id());
    int way = world.choices.choose("engine", 4);
    if (way == 2) {
      link.say(EngineReplies.error(command.id()));
      return;
    }
    if (way == 1 || draining || cores.running() >= sessionsMost) {
      link.say(EngineReplies.refused(command.id()));
      return;
    }
    if (job == null) {
      link.say(EngineReplies.error(command.id()));
      return;
    }
    double work = job.work();
    if (command.nonce() != null && !world.receipts.first(world.now(), command.nonce())) {
      // A repeat: found out at once, and nothing is done again.
      work = 1;
    } else {
      world.auditor.ran(world.now(), spec.name(), command.id(), work);
    }
    cores.advance(world.now());
    Query query = new Query(link, command.id(), work, job.threads(), job.memory());
    query.mute = way == 3;
    open.computeIfAbsent(link, l -> new LinkedHashMap<>()).put(command.id(), query);
    cores.add(query.load);
    look();
    world.timeline.at(world.now() + world.fleet.notesEvery(), () -> note(query));
    world.timeline.at(world.now() + Math.max(1, command.limit()) * 10, () -> expire(query));
  }

  /** The gateway waits no longer: the engine stops by itself. */
  private void expire(Query query) {
    if (!query.over) {
      cores.advance(world.now());
      forget(query);
      stop(query);
      look();
    }
  }

  private void note(Query query) {
    if (query.over || ended) {
      return;
    }
    if (!silent && !query.mute) {
      cores.advance(world.now());
      double missing = cores.megabytesMissing();
      double share = Math.rint(cores.shareDone(query.load) * 1000) / 1000;
      query.link.say(
          missing > 0
              ? EngineReplies.progress(query.id, "missing", Math.rint(missing))
              : EngineReplies.progress(query.id, "frac", share));
    }
    world.timeline.at(world.now() + world.fleet.notesEvery(), () -> note(query));
  }

  /** Sees to what has ended, and looks again when the next will. */
  private void look() {
    for (Cores.Load load : cores.ended()) {
      finish((Query) load.what);
    }
    long next = cores.nextEnd();
    if (next < checkAt || checkAt < world.now()) {
      checkAt = next;
      if (next != Long.MAX_VALUE) {
        world.timeline.at(next, this::check);
      }
    }
  }

  private void check() {
    if (ended || world.now() < checkAt) {
      return;
    }
    checkAt = Long.MAX_VALUE;
    cores.advance(world.now());
    look();
  }

  private void finish(Query query) {
    query.over = true;
    forget(query);
    if (silent || query.mute) {
      return;
    }
    int pages = Results.pages(query.id);
    if (pages > 1 || world.fleet.kinds().get(spec.kind()).http2()) {
      keep(query.id);
    }
    query.link.say(EngineReplies.ok(query.id, pages, Results.page(query.id, 0)));
  }

  private void keep(String id) {
    results.remove(id);
    results.put(id, world.now() + PAGES_KEPT);
    while (results.values().iterator().next() < world.now()) {
      results.remove(results.keySet().iterator().next());
    }
  }

  // ---- troubles ----

  void slow(double times) {
    cores.advance(world.now());
    cores.slowness(times);
    look();
  }

  void silence(boolean on) {
    silent = on;
  }

  void drain() {
    draining = true;
  }

  /** The process ends; its connections are reset. */
  void end() {
    ended = true;
    cores.clear();
    open.clear();
    List<Peer> all = new ArrayList<>(links);
    links.clear();
    all.forEach(link -> link.cut(DisconnectReason.RESET));
  }

  public boolean isEnded() {
    return ended;
  }

  double spent() {
    cores.advance(world.now());
    return cores.spent();
  }

  int running() {
    return cores.running();
  }
}
