package tillerlink.channels;

import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import tillerlink.channels.consensus.ConsensusContext;
import tillerlink.channels.consensus.EpochConsensus;
import tillerlink.channels.cue.Cue;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.channels.entry.AppendResult;
import tillerlink.channels.entry.HybridLogicalClock;
import tillerlink.channels.entry.Incarnations;
import tillerlink.channels.epoch.Standings;
import tillerlink.channels.journal.ChannelLog;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.recovery.Store;
import tillerlink.channels.sync.ChannelTransport;
import tillerlink.channels.sync.Fetcher;
import tillerlink.channels.sync.SyncServer;
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

/**
 * The replicated logs of all channels at one gateway. Appends are accepted at any time, also while
 * the gateway is partitioned from the others. A prefix of each log is stable: a majority of the
 * counted gateways has decided it, and from then on it is the same at every gateway and never
 * changes.
 *
 * <p>Not thread-safe: used by the gateway's event loop only. It does no I/O of its own. Times are
 * tenths of a millisecond: {@code now} is the time of a monotonic clock, {@code wall} the time
 * since 1970 by the machine's clock.
 */
public final class Channels implements ClusterComponent {
  /** Time units (tenths of a millisecond) in a millisecond. */
  static final int TENTHS_PER_MILLI = 10;

  private final MembershipView membership;
  private final RateLimitedLog log;
  private final Journal journal;
  private final Store store;
  private final HybridLogicalClock clock;
  private final Fetcher fetcher;
  private final SyncServer server;
  private final Standings standings = new Standings();
  private final EpochConsensus consensus;
  private final Writer writer;
  private final Replicator replicator;
  private final LossDetector lossDetector;
  private final Reporter reporter;
  private final Compactor compactor;
  private final long incarnation;
  private long malformed;

  /**
   * Recovers the logs from the gateway's store, and draws the incarnation of this process.
   *
   * @param config the operator's settings
   * @param membership the gateways of the fleet
   * @param sender sends messages to other gateways
   * @param storage where events, cuts and promises are stored
   * @param random the source of all random numbers
   * @param wall the time of the machine's clock, in tenths of a millisecond since 1970
   * @param lines receives lines for the gateway's log; the rate of each kind of line is limited
   */
  public Channels(
      ChannelLogConfig config,
      MembershipView membership,
      MessageSender sender,
      KeyValueStore storage,
      RandomGenerator random,
      long wall,
      Consumer<String> lines) {
    this.membership = membership;
    log = new RateLimitedLog(lines);
    journal = new Journal(config.counted());
    store = new Store(storage);
    clock = new HybridLogicalClock(config.aheadMillis());
    ChannelTransport transport = new ChannelTransport(membership, sender, random);
    fetcher = new Fetcher(journal, transport);
    server = new SyncServer(journal, transport);
    store.load(journal);
    incarnation = Incarnations.draw(store.foundIncarnation(), wall, random);
    store.incarnation(incarnation);
    journal.tail().forEach(entry -> clock.observe(entry.stamp()));
    clock.observe(journal.upTo());
    ConsensusContext context =
        new ConsensusContext(
            membership.self(),
            incarnation,
            config.counted(),
            config.absentAfter(),
            journal,
            store,
            transport,
            server,
            fetcher,
            standings);
    consensus = new EpochConsensus(context, random);
    writer = new Writer(config, journal, store, clock, transport, incarnation, log);
    replicator = new Replicator(config, membership, journal, store, clock, log);
    lossDetector = new LossDetector(journal, log);
    reporter = new Reporter(incarnation, journal, clock, writer, standings, transport, random);
    compactor = new Compactor(config.maxSlots(), writer.quota(), journal, store);
  }

  // ---- client operations ----

  /**
   * Appends an event to a channel's log.
   *
   * @param now the monotonic time, in tenths of a millisecond
   * @param wall the time since 1970, in tenths of a millisecond
   * @param channel the channel's name
   * @param request the event and its optional idempotency key
   * @param onResult receives the result: during this call if the event is refused or already
   *     stored, otherwise once the event is durable; never called if the disk fails in the meantime
   */
  public void append(
      long now, long wall, String channel, AppendRequest request, Consumer<AppendResult> onResult) {
    writer.append(now, wall, channel, request, onResult);
  }

  /**
   * Returns a page of a channel's log.
   *
   * @param channel the channel's name
   * @param from the index of the first event to return, from 0
   * @param maxBytes the approximate limit on the events' size in bytes; if there are events, at
   *     least one is returned whatever its size
   * @return the page; without events if the channel has none
   */
  public Page read(String channel, long from, int maxBytes) {
    return PageReader.read(journal, channel, from, maxBytes);
  }

  /**
   * Returns all cues of a channel, with the provisional events applied; empty if the channel has no
   * events.
   */
  public List<Cue> cues(String channel) {
    ChannelLog channelLog = journal.logs().get(channel);
    return channelLog == null ? List.of() : channelLog.cues(journal.upTo());
  }

  /** Returns the names of the channels that have events, in their order. */
  public List<String> names() {
    return List.copyOf(journal.logs().keySet());
  }

  /** Returns the counters and log positions that the gateway's status shows. */
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
        consensus.votes(),
        consensus.leads(),
        replicator.refusedAhead() + writer.refusedAhead(),
        malformed + replicator.malformed(),
        fetcher.timeouts(),
        store.failures(),
        replicator.ownRecovered(),
        replicator.conflictingContents());
  }

  // ---- messages ----

  @Override
  public void onMessage(long now, long wall, String from, byte[] body) {
    try {
      onMessage(now, wall, from, ChannelsCodec.message(body));
    } catch (MalformedMessageException e) {
      malformed++;
      log.log(now, "malformed", "malformed channels message from " + from + ": " + e.getMessage());
    }
  }

  private void onMessage(long now, long wall, String from, ChannelsMessage message) {
    if (message instanceof Report report) {
      onReport(now, from, report);
    } else if (message instanceof Piece piece) {
      int newEvents = replicator.addEvents(now, wall, from, piece);
      fetcher.onPiece(now, from, piece, newEvents);
    } else if (message instanceof Want want) {
      server.sendEntries(from, want);
    } else if (message instanceof Cuts cuts) {
      cuts.cuts().forEach(replicator::learn);
    } else if (message instanceof CutsWanted wanted) {
      server.sendCuts(from, wanted.from());
    } else if (message instanceof SumWanted wanted) {
      server.sendState(from, wanted);
    } else if (message instanceof SumPart part) {
      byte[] compactedState = fetcher.onStatePart(now, from, part);
      if (compactedState != null) {
        replicator.installState(now, from, compactedState);
      }
    } else {
      consensus.onMessage(now, from, message);
    }
  }

  private void onReport(long now, String from, Report report) {
    if (!report.own().gateway().equals(from)) {
      malformed++;
      return;
    }
    Report previous = fetcher.report(from);
    if (previous != null && previous.own().incarnation() < report.own().incarnation()) {
      lossDetector.onRestart(now, from, previous.own(), report);
    }
    checkDigest(from, report);
    clock.onWall(now, from, report.wall());
    standings.update(now, report.own());
    for (Standing other : report.others()) {
      if (!other.gateway().equals(membership.self())) {
        standings.update(now, other);
      }
    }
    fetcher.onReport(now, from, report);
  }

  private void checkDigest(String from, Report report) {
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
  }

  // ---- timers ----

  @Override
  public void tick(long now, long wall) {
    standings.startIfNeeded(now);
    standings.update(now, reporter.standing(now, wall));
    journal.apply();
    fetcher.tick(now);
    consensus.tick(now);
    compactor.compact();
    if (now >= reporter.dueAt()) {
      reporter.report(now, wall);
    }
  }

  @Override
  public long nextDueAt() {
    return Math.min(Math.min(reporter.dueAt(), consensus.dueAt()), fetcher.dueAt());
  }

  @Override
  public void onPause(long now, long wall, long lasted) {
    consensus.onPause();
    reporter.makeDue();
  }
}
