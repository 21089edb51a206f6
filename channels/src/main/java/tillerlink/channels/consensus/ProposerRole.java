package tillerlink.channels.consensus;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import tillerlink.channels.epoch.Planner;
import tillerlink.channels.epoch.Proposer;
import tillerlink.channels.epoch.Standings;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.recovery.Store;
import tillerlink.channels.sync.ChannelTransport;
import tillerlink.channels.sync.Fetcher;
import tillerlink.cluster.Reachability;
import tillerlink.messages.channels.Ballot;
import tillerlink.messages.channels.ChannelsMessage;
import tillerlink.messages.channels.ChannelsMessage.Accept;
import tillerlink.messages.channels.ChannelsMessage.Cuts;
import tillerlink.messages.channels.ChannelsMessage.Prepare;
import tillerlink.messages.channels.ChannelsMessage.Report;
import tillerlink.messages.channels.Cut;

/**
 * Proposes cuts: the leader at once, the other voters one after the other if nothing is decided for
 * a while. Times are tenths of a millisecond.
 */
final class ProposerRole {
  /** Without anything due, the next tick is due after this. */
  private static final long TICK_INTERVAL = 5000;

  /** A leader waits for this long after a decision before it proposes again. */
  private static final long MIN_SLOT_INTERVAL = 1500;

  /** Each voter waits for this long after the one before it. */
  private static final long TAKEOVER_INTERVAL = 15_000;

  /** Between two plans. */
  private static final long MIN_PLAN_INTERVAL = 500;

  /** A report older than this does not show that its sender has caught up. */
  private static final long MAX_REPORT_AGE = 30_000;

  private final String self;
  private final List<String> counted;
  private final Journal journal;
  private final Store store;
  private final ChannelTransport transport;
  private final Fetcher fetcher;
  private final Standings standings;
  private final Proposer proposer;
  private final AcceptorRole acceptor;
  private final Planner planner;
  private long decidedAt;
  private long plannedAt = Long.MIN_VALUE / 2;
  private long idleSince;
  private long lastDecided;
  private long dueAt;

  ProposerRole(ConsensusContext context, Proposer proposer, AcceptorRole acceptor) {
    standings = context.standings();
    self = context.self();
    counted = context.counted();
    journal = context.journal();
    store = context.store();
    transport = context.transport();
    fetcher = context.fetcher();
    this.proposer = proposer;
    this.acceptor = acceptor;
    planner = new Planner(counted, context.absentAfter());
  }

  long dueAt() {
    return dueAt;
  }

  boolean leads() {
    return proposer.leads(journal.voters());
  }

  /** Does what is due. */
  void tick(long now) {
    dueAt = now + TICK_INTERVAL;
    if (journal.decided() != lastDecided) {
      lastDecided = journal.decided();
      idleSince = now;
      if (proposer.stage() != Proposer.Stage.IDLE && proposer.slot() <= lastDecided) {
        proposer.finish();
      }
    }
    if (acceptor.votes()
        && journal.voters().contains(self)
        && journal.applied() == journal.decided()) {
      propose(now);
    }
  }

  private void propose(long now) {
    if (proposer.stage() == Proposer.Stage.IDLE) {
      begin(now);
    }
    List<String> voters = journal.voters();
    if (proposer.mayAccept(voters)) {
      Cut bound = proposer.boundCut(voters);
      Cut cut = bound == null ? plan(now) : bound;
      if (cut == null) {
        proposer.finish();
        return;
      }
      // A bound cut may not be held here yet; those that accepted it hold it. Until it has been
      // fetched no other cut is proposed.
      if (acceptor.mayAccept(cut)) {
        proposeCut(now, cut);
      }
    } else if (proposer.isDecided(voters)) {
      onDecided(now);
      return;
    }
    if (proposer.beginSendIfDue(now)) {
      send(voters);
    }
    dueAt = Math.min(dueAt, Math.max(now + 1, proposer.dueAt()));
  }

  /** Starts a proposal if there is something to decide on and it is this gateway's turn. */
  private void begin(long now) {
    boolean leads = leads();
    long notBefore =
        Math.max(
            Math.max(proposer.backoffUntil(), plannedAt + MIN_PLAN_INTERVAL),
            leads ? decidedAt + MIN_SLOT_INTERVAL : 0);
    if (now < notBefore) {
      dueAt = Math.min(dueAt, notBefore);
      return;
    }
    plannedAt = now;
    Cut cut = plan(now);
    if (cut == null) {
      idleSince = now;
    } else if (leads) {
      proposeCut(now, cut);
    } else if (now - idleSince >= rank() * TAKEOVER_INTERVAL) {
      prepare(now);
    }
  }

  /** Starts phase 1; this gateway's own acceptor is the first to promise. */
  private void prepare(long now) {
    proposer.prepare(now, journal.decided() + 1, acceptor.state().promised());
    acceptor.state().promise(proposer.ballot());
    Ballot ballot = proposer.ballot();
    long slot = proposer.slot();
    acceptor.persist(() -> proposer.onPromise(now, self, acceptor.promise(ballot, slot)));
  }

  /** Starts phase 2; this gateway's own acceptor is the first to accept. */
  private void proposeCut(long now, Cut cut) {
    proposer.accept(now, cut);
    if (acceptor.state().accept(proposer.ballot(), cut)) {
      Ballot ballot = proposer.ballot();
      acceptor.persist(() -> proposer.onAccepted(now, self, acceptor.accepted(ballot, cut.slot())));
    } else {
      proposer.stop();
    }
  }

  /**
   * Returns how many other voters propose before this one: the last leader goes first, then the
   * order is that of names.
   */
  private int rank() {
    List<String> voters = journal.voters();
    String lastLeader = Proposer.gateway(acceptor.state().promised());
    int last = Math.max(0, voters.indexOf(lastLeader));
    return Math.floorMod(voters.indexOf(self) - last, voters.size());
  }

  private Cut plan(long now) {
    Set<String> caughtUp = new TreeSet<>();
    Set<String> waitedFor = new TreeSet<>();
    caughtUp.add(self);
    waitedFor.add(self);
    for (String name : transport.membership().names()) {
      if (hasCaughtUp(now, name)) {
        caughtUp.add(name);
      }
      Reachability reachability = transport.membership().reachability(name);
      if (reachability.isContactable()
          || (reachability == Reachability.GONE && counted.contains(name))) {
        waitedFor.add(name);
      }
    }
    return planner.next(now, journal, standings, caughtUp, waitedFor);
  }

  private boolean hasCaughtUp(long now, String name) {
    Report report = fetcher.report(name);
    return report != null
        && now - fetcher.reportAt(name) < MAX_REPORT_AGE
        && report.applied() == journal.applied();
  }

  private void send(List<String> voters) {
    if (proposer.stage() == Proposer.Stage.PREPARING && !proposer.hasAnswered(self)) {
      return;
    }
    ChannelsMessage message =
        proposer.stage() == Proposer.Stage.PREPARING
            ? new Prepare(proposer.ballot(), proposer.slot())
            : new Accept(proposer.ballot(), proposer.cut());
    for (String voter : voters) {
      if (!voter.equals(self) && !proposer.hasAnswered(voter)) {
        transport.send(voter, message);
      }
    }
  }

  private void onDecided(long now) {
    Cut cut = proposer.cut();
    proposer.finish();
    decidedAt = now;
    if (journal.learn(cut)) {
      store.cut(cut);
      transport.spread(new Cuts(List.of(cut)), journal.voters());
    }
    journal.apply();
  }
}
