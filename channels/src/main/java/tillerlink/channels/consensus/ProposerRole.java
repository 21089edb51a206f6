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
 * The proposer of cuts at one gateway. The leader proposes immediately; if nothing is decided for a
 * while, the other voters propose one after the other. Times are tenths of a millisecond.
 */
final class ProposerRole {
  /** The time to the next tick if nothing is due earlier. */
  private static final long TICK_INTERVAL = 5000;

  /** The least time between a decision and the leader's next proposal. */
  private static final long MIN_SLOT_INTERVAL = 1500;

  /** The time that each voter waits longer than the voter before it in the order. */
  private static final long TAKEOVER_INTERVAL = 15_000;

  /** The least time between two plans of a cut. */
  private static final long MIN_PLAN_INTERVAL = 500;

  /** The age beyond which a report does not prove that its sender has caught up. */
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

  /** Returns the time at which the next tick is due. */
  long dueAt() {
    return dueAt;
  }

  /** Returns whether a majority of the voters has promised this gateway's ballot. */
  boolean leads() {
    return proposer.leads(journal.voters());
  }

  /** Ends a proposal whose slot is decided, and proposes if this gateway may. */
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

  /** Starts or continues a proposal, and sends the requests that are due. */
  private void propose(long now) {
    if (proposer.stage() == Proposer.Stage.IDLE) {
      startIfDue(now);
    }
    List<String> voters = journal.voters();
    if (proposer.mayAccept(voters)) {
      Cut boundCut = proposer.boundCut(voters);
      Cut cut = boundCut == null ? plan(now) : boundCut;
      if (cut == null) {
        proposer.finish();
        return;
      }
      // The events of a bound cut may not be held here yet; the acceptors that accepted the cut
      // hold them. No other cut is proposed until they have been fetched.
      if (acceptor.mayAccept(cut)) {
        proposeCut(now, cut);
      }
    } else if (proposer.isDecided(voters)) {
      onDecided(now);
      return;
    }
    if (proposer.beginSendIfDue(now)) {
      sendRequests(voters);
    }
    dueAt = Math.min(dueAt, Math.max(now + 1, proposer.dueAt()));
  }

  /** Starts a proposal if there is something to decide and it is this gateway's turn. */
  private void startIfDue(long now) {
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

  /** Starts phase 1. This gateway's own acceptor must promise before the others are asked. */
  private void prepare(long now) {
    proposer.prepare(now, journal.decided() + 1, acceptor.state().promised());
    acceptor.state().promise(proposer.ballot());
    Ballot ballot = proposer.ballot();
    long slot = proposer.slot();
    acceptor.persist(() -> proposer.onPromise(now, self, acceptor.promise(ballot, slot)));
  }

  /**
   * Starts phase 2 with a cut, which this gateway's own acceptor accepts first. Abandons the
   * proposal if the acceptor has promised a higher ballot.
   */
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
   * Returns the number of voters that propose before this one. The order starts with the last
   * leader and follows the names cyclically.
   */
  private int rank() {
    List<String> voters = journal.voters();
    String lastLeader = Proposer.gateway(acceptor.state().promised());
    int leaderIndex = Math.max(0, voters.indexOf(lastLeader));
    return Math.floorMod(voters.indexOf(self) - leaderIndex, voters.size());
  }

  /** Returns the cut to propose next; null if there is nothing to decide. */
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

  /** Returns whether a recent report shows that a gateway has applied the same cuts. */
  private boolean hasCaughtUp(long now, String name) {
    Report report = fetcher.report(name);
    return report != null
        && now - fetcher.reportAt(name) < MAX_REPORT_AGE
        && report.applied() == journal.applied();
  }

  /**
   * Sends the request of the current phase to the other voters that have not responded. In phase 1
   * nothing is sent before this gateway's own promise is persisted.
   */
  private void sendRequests(List<String> voters) {
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

  /** Stores, publishes and applies the cut that a majority has accepted. */
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
