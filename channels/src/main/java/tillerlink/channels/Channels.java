package tillerlink.channels;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import tillerlink.channels.consensus.EpochConsensus;
import tillerlink.channels.cue.Cue;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.channels.entry.AppendResult;
import tillerlink.channels.entry.HybridLogicalClock;
import tillerlink.channels.entry.Incarnations;
import tillerlink.channels.epoch.Standings;
import tillerlink.channels.journal.ChannelLog;
import tillerlink.channels.journal.CompactedState;
import tillerlink.channels.journal.EventSet;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.journal.OrderedEvent;
import tillerlink.channels.recovery.Store;
import tillerlink.channels.sync.ChannelTransport;
import tillerlink.channels.sync.Fetcher;
import tillerlink.channels.sync.Server;
import tillerlink.cluster.ClusterComponent;
import tillerlink.cluster.Invariant;
import tillerlink.cluster.KeyValueStore;
import tillerlink.cluster.MembershipView;
import tillerlink.cluster.MessageSender;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.channels.ChannelsCodec;
import tillerlink.messages.channels.ChannelsMessage;
import tillerlink.messages.channels.ChannelsMessage.Cuts;
import tillerlink.messages.channels.ChannelsMessage.CutsWanted;
import tillerlink.messages.channels.ChannelsMessage.Piece;
import tillerlink.messages.channels.ChannelsMessage.Report;
import tillerlink.messages.channels.ChannelsMessage.Standing;
import tillerlink.messages.channels.ChannelsMessage.SumPart;
import tillerlink.messages.channels.ChannelsMessage.SumWanted;
import tillerlink.messages.channels.ChannelsMessage.Want;
import tillerlink.messages.channels.Cut;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.Span;

/**
 * The logs of all channels at one gateway. Takes appends at any time, also cut off, and gives a log
 * of which a prefix is stable: agreed on by a majority of the gateways counted in, and from then on
 * the same everywhere and for good.
 */
public final class Channels implements ClusterComponent {
  private static final long REPORT_BUSY = 2500;
  private static final long REPORT_IDLE = 10_000;
  private static final int REPORT_SPANS = 32;
  private static final int SHORT_SPANS = 3;
  private static final int REPORT_OTHERS = 8;
  private static final long LOG_LEAST = 100_000;
  private static final int KINDS_MOST = 1024;

  private final Terms terms;
  private final MembershipView membership;
  private final Consumer<String> log;
  private final Journal journal;
  private final Store store;
  private final HybridLogicalClock stamps;
  private final ChannelTransport wire;
  private final Fetcher fetcher;
  private final Server server;
  private final Standings standings = new Standings();
  private final EpochConsensus agreement;
  private final Writer writer;
  private final RandomGenerator random;
  private final long incarnation;
  private final TreeMap<String, Long> logged = new TreeMap<>();
  private long reportedAt = Long.MIN_VALUE / 2;
  private long now;
  private long wall;
  private boolean isShort = true;
  private long refusedAhead;
  private long malformed;
  private long ownTakenBack;
  private long twoContents;

  /**
   * @param log takes lines for the gateway's log, few of each kind
   * @param wall the machine's clock, in tenths of a millisecond since 1970
   */
  public Channels(
      Terms terms,
      MembershipView membership,
      MessageSender post,
      KeyValueStore keep,
      RandomGenerator random,
      long wall,
      Consumer<String> log) {
    this.terms = terms;
    this.membership = membership;
    this.random = random;
    this.log = log;
    this.wall = wall;
    journal = new Journal(terms.counted());
    store = new Store(keep);
    stamps = new HybridLogicalClock(terms.aheadMillis());
    wire = new ChannelTransport(membership, post, random);
    fetcher = new Fetcher(journal, wire);
    server = new Server(journal, wire);
    store.load(journal);
    incarnation = Incarnations.draw(store.foundIncarnation(), wall, random);
    store.incarnation(incarnation);
    journal.tail().forEach(entry -> stamps.saw(entry.stamp()));
    stamps.saw(journal.upTo());
    agreement =
        new EpochConsensus(
            membership.self(),
            incarnation,
            terms.counted(),
            terms.absentAfter(),
            journal,
            store,
            wire,
            server,
            fetcher,
            standings,
            random);
    writer = new Writer(terms, journal, store, stamps, wire, incarnation, this::say);
  }

  // ---- for clients ----

  /**
   * Appends an event.
   *
   * @param answer told in this turn if it is refused or was there already, otherwise once it is
   *     kept; never told if the disk fails meanwhile
   */
  public void append(
      long now, long wall, String channel, AppendRequest draft, Consumer<AppendResult> answer) {
    time(now, wall);
    writer.append(now, wall, channel, draft, answer);
  }

  /**
   * @param bytesMost about so many bytes of events, at least one event
   */
  public Page read(String channel, long from, int maxBytes) {
    ChannelLog of = journal.logs().get(channel);
    if (of == null) {
      return new Page(0, 0, List.of(), false);
    }
    List<Page.Line> lines = new ArrayList<>();
    long bytes = 0;
    long index = Math.max(from, of.first());
    for (; index < of.stableCount(); index++) {
      OrderedEvent placed = of.stable(index);
      bytes += placed.entry().weight();
      if (bytes > maxBytes && !lines.isEmpty()) {
        return new Page(of.first(), of.stableCount(), lines, true);
      }
      lines.add(new Page.Line(index, placed.entry(), true, placed.late(), placed.repeat()));
    }
    long at = of.stableCount();
    for (Entry entry : of.tail()) {
      if (at >= index) {
        bytes += entry.weight();
        if (bytes > maxBytes && !lines.isEmpty()) {
          return new Page(of.first(), of.stableCount(), lines, true);
        }
        lines.add(
            new Page.Line(at, entry, false, entry.stamp() <= journal.upTo(), of.isRepeat(entry)));
      }
      at++;
    }
    return new Page(of.first(), of.stableCount(), lines, false);
  }

  /** All cues of a channel as they stand, provisional events counted. */
  public List<Cue> cues(String channel) {
    ChannelLog of = journal.logs().get(channel);
    return of == null ? List.of() : of.cues(journal.upTo());
  }

  /** Channels that have events. */
  public List<String> names() {
    return List.copyOf(journal.logs().keySet());
  }

  public State state() {
    long stable = journal.logs().values().stream().mapToLong(ChannelLog::stableCount).sum();
    return new State(
        incarnation,
        journal.applied(),
        journal.decided(),
        journal.base(),
        journal.tail().size(),
        stable,
        journal.bytes(),
        journal.voters(),
        agreement.votes(),
        agreement.leads(),
        refusedAhead + writer.refusedAhead(),
        malformed,
        fetcher.again(),
        store.failures(),
        ownTakenBack,
        twoContents);
  }

  // ---- from others ----

  @Override
  public void onMessage(long now, long wall, String from, byte[] body) {
    time(now, wall);
    try {
      onMessage(from, ChannelsCodec.message(body));
    } catch (MalformedMessageException e) {
      malformed++;
      say("malformed", "a message of " + from + " about channels can't be read: " + e.getMessage());
    }
  }

  private void onMessage(String from, ChannelsMessage message) {
    if (message instanceof Report it) {
      reported(from, it);
    } else if (message instanceof Piece it) {
      long before = journal.held().size();
      it.entries().forEach(entry -> take(from, entry));
      fetcher.got(now, from, it, (int) (journal.held().size() - before));
    } else if (message instanceof Want it) {
      server.want(from, it);
    } else if (message instanceof Cuts it) {
      it.cuts().forEach(this::learn);
    } else if (message instanceof CutsWanted it) {
      server.cuts(from, it.from());
    } else if (message instanceof SumWanted it) {
      server.sum(from, it);
    } else if (message instanceof SumPart it) {
      byte[] whole = fetcher.got(now, from, it);
      if (whole != null) {
        startFrom(from, whole);
      }
    } else {
      agreement.told(now, from, message);
    }
  }

  private void reported(String from, Report report) {
    if (!report.own().gateway().equals(from)) {
      malformed++;
      return;
    }
    Report before = fetcher.report(from);
    if (before != null && before.own().incarnation() < report.own().incarnation()) {
      restarted(from, before.own(), report);
    }
    Long digest = journal.digest(report.applied());
    Invariant.holds(
        digest == null || digest == report.digest(),
        () ->
            "stable events up to step "
                + report.applied()
                + " differ between "
                + membership.self()
                + " and "
                + from);
    stamps.heard(now, from, report.wall());
    standings.take(now, report.own());
    report
        .others()
        .forEach(
            other -> {
              if (!other.gateway().equals(membership.self())) {
                standings.take(now, other);
              }
            });
    fetcher.reported(now, from, report);
  }

  /**
   * One that started anew and lacks what it had said to hold of its own: its disk is lost, or an
   * old copy.
   */
  private void restarted(String from, Standing before, Report report) {
    int told = report.extra().size();
    if (before.top() == 0 || told == SHORT_SPANS || told >= REPORT_SPANS) {
      // It holds more than it told: nothing can be said.
      return;
    }
    EventSet theirs = new EventSet();
    report.extra().forEach(theirs::add);
    if (report.applied() >= journal.base()) {
      journal.placed().spans(before.incarnation()).forEach(theirs::add);
      for (Cut cut :
          journal.cuts().tailMap(Math.min(report.applied(), journal.applied()), false).values()) {
        List<Span> back = new ArrayList<>(cut.spans());
        back.removeIf(span -> span.incarnation() != before.incarnation());
        back.forEach(theirs::remove);
      }
      report.extra().forEach(theirs::add);
    }
    List<Span> lacking = new ArrayList<>();
    theirs.missing(new Span(before.incarnation(), 1, before.top()), lacking);
    long count = lacking.stream().mapToLong(Span::size).sum();
    if (count > 0) {
      say(
          "lost " + from,
          from
              + " came back with a lost or an old disk: it lacks "
              + count
              + " events of its own, which it is given back");
    }
  }

  private void take(String from, Entry entry) {
    if (journal.held().has(entry.incarnation(), entry.sequence())) {
      if (!journal.sameAsHeld(entry)) {
        twoContents++;
        say(
            "two",
            from + " has another event under the name " + entry.dot().text() + "; it is not taken");
      }
      journal.put(entry);
      return;
    }
    if (stamps.isTooFarAhead(now, wall, entry.stamp()) && !isAgreed(entry)) {
      refusedAhead++;
      say(
          "ahead of " + entry.gateway(),
          "an event of "
              + entry.gateway()
              + " is not taken yet: its stamp is"
              + " further ahead of the time than the "
              + terms.aheadMillis()
              + " ms allowed");
      return;
    }
    if (!store.entry(entry, null)) {
      say("disk", "events of others can't be kept: the disk is full or has failed");
      return;
    }
    stamps.saw(entry.stamp());
    if (entry.gateway().equals(membership.self())) {
      ownTakenBack++;
      say(
          "own",
          "events of this gateway's own past are taken back from "
              + from
              + ": its disk is lost or an old copy");
    }
    journal.put(entry);
    journal.apply();
  }

  private boolean isAgreed(Entry entry) {
    for (Cut cut : journal.cuts().tailMap(journal.applied(), false).values()) {
      for (Span span : cut.spans()) {
        if (span.incarnation() == entry.incarnation()
            && span.from() <= entry.sequence()
            && span.to() >= entry.sequence()) {
          return true;
        }
      }
    }
    return false;
  }

  private void learn(Cut cut) {
    if (journal.learn(cut)) {
      store.cut(cut);
      stamps.saw(cut.upTo());
      journal.apply();
    }
  }

  private void startFrom(String from, byte[] bytes) {
    try {
      CompactedState sum = CompactedState.read(bytes);
      if (sum.slot() <= journal.applied()) {
        return;
      }
      long before = journal.base();
      List<Entry> all = new ArrayList<>();
      journal.held().spans().forEach(span -> all.addAll(journal.entries(span)));
      List<Entry> rest = journal.startFrom(sum, CompactedState.read(bytes));
      all.removeAll(rest);
      store.sum(bytes, sum.slot(), before, all, before + 1);
      rest.forEach(journal::put);
      journal.apply();
      stamps.saw(journal.upTo());
      say(
          "sum",
          "this gateway was far behind and starts from the sum of "
              + from
              + " at step "
              + sum.slot());
    } catch (MalformedMessageException e) {
      malformed++;
    }
  }

  // ---- time ----

  private void time(long now, long wall) {
    this.now = now;
    this.wall = wall;
  }

  @Override
  public void tick(long now, long wall) {
    time(now, wall);
    standings.start(now);
    standings.take(now, standing());
    journal.apply();
    fetcher.turn(now);
    agreement.turn(now);
    compact();
    if (now >= reportDue()) {
      report();
    }
  }

  private Standing standing() {
    long floor = stamps.floor(now, wall);
    return new Standing(membership.self(), incarnation, writer.floor(floor), writer.top());
  }

  private long reportDue() {
    boolean busy = !journal.tail().isEmpty() || journal.applied() < journal.decided();
    return reportedAt + (busy ? REPORT_BUSY : REPORT_IDLE);
  }

  private void report() {
    reportedAt = now;
    // Every other one is short, for links that carry small messages only.
    isShort = !isShort;
    int spans = isShort ? SHORT_SPANS : REPORT_SPANS;
    List<Span> extra = new ArrayList<>(journal.extra().spans());
    if (extra.size() > spans) {
      java.util.Collections.rotate(extra, random.nextInt(extra.size()));
      extra = extra.subList(0, spans);
    }
    Report report =
        new Report(
            wall / 10,
            standing(),
            journal.applied(),
            journal.decided(),
            journal.base(),
            journal.digest(),
            extra,
            isShort ? List.of() : standings.freshest(REPORT_OTHERS));
    wire.spread(report, journal.voters());
  }

  private void compact() {
    long slot = journal.base();
    if (journal.applied() - journal.base() > terms.cutsMost()) {
      slot = journal.applied() - terms.cutsMost() + terms.cutsMost() / 8;
    } else if (journal.bytes() > writer.room().compactBeyond()
        && journal.applied() > journal.base()) {
      slot = journal.base() + Math.max(1, (journal.applied() - journal.base()) / 4);
    }
    if (slot > journal.base()) {
      long before = journal.base();
      List<Entry> gone = journal.compact(slot);
      store.sum(journal.sum().bytes(), journal.base(), before, gone, before + 1);
    }
  }

  @Override
  public long nextDueAt() {
    return Math.min(Math.min(reportDue(), agreement.dueAt()), fetcher.dueAt());
  }

  @Override
  public void onPause(long now, long wall, long lasted) {
    time(now, wall);
    agreement.away();
    reportedAt = Long.MIN_VALUE / 2;
  }

  private void say(String kind, String line) {
    Long last = logged.get(kind);
    if (last == null ? logged.size() < KINDS_MOST : now - last >= LOG_LEAST) {
      logged.put(kind, now);
      log.accept(line);
    }
  }
}
