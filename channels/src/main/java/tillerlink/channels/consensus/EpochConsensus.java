package tillerlink.channels.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import tillerlink.channels.epoch.AcceptorState;
import tillerlink.channels.epoch.Planner;
import tillerlink.channels.epoch.Proposer;
import tillerlink.channels.epoch.RejoinCheck;
import tillerlink.channels.epoch.Standings;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.recovery.Store;
import tillerlink.channels.sync.ChannelTransport;
import tillerlink.channels.sync.Fetcher;
import tillerlink.channels.sync.Server;
import tillerlink.cluster.Reachability;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.channels.Ballot;
import tillerlink.messages.channels.ChannelsMessage;
import tillerlink.messages.channels.ChannelsMessage.Accept;
import tillerlink.messages.channels.ChannelsMessage.Accepted;
import tillerlink.messages.channels.ChannelsMessage.Answer;
import tillerlink.messages.channels.ChannelsMessage.Ask;
import tillerlink.messages.channels.ChannelsMessage.Cuts;
import tillerlink.messages.channels.ChannelsMessage.CutsWanted;
import tillerlink.messages.channels.ChannelsMessage.Life;
import tillerlink.messages.channels.ChannelsMessage.Prepare;
import tillerlink.messages.channels.ChannelsMessage.Promise;
import tillerlink.messages.channels.Cut;

/** One gateway's part in the agreed line: votes, and proposes when it is its turn. */
public final class EpochConsensus {
  private static final long ASK_AGAIN = 5000;
  private static final long STEP_LEAST = 1500;
  private static final long TURN_OF_NEXT = 15_000;
  private static final long PLAN_LEAST = 500;
  private static final long FRESH = 30_000;

  private final String self;
  private final long incarnation;
  private final Journal journal;
  private final Store store;
  private final ChannelTransport wire;
  private final Server server;
  private final Fetcher fetcher;
  private final Standings standings;
  private final AcceptorState voting;
  private final RejoinCheck witnesses;
  private final Proposer proposer;
  private final Planner planner;
  private final List<String> counted;
  private boolean votes;
  private long askedAt = Long.MIN_VALUE / 2;
  private long steppedAt;
  private long plannedAt = Long.MIN_VALUE / 2;
  private long idleSince;
  private long lastDecided;
  private long dueAt;

  public EpochConsensus(
      String self,
      long incarnation,
      List<String> counted,
      long absentAfter,
      Journal journal,
      Store store,
      ChannelTransport wire,
      Server server,
      Fetcher fetcher,
      Standings standings,
      RandomGenerator random) {
    this.self = self;
    this.incarnation = incarnation;
    this.counted = List.copyOf(counted);
    this.journal = journal;
    this.store = store;
    this.wire = wire;
    this.server = server;
    this.fetcher = fetcher;
    this.standings = standings;
    voting = found(store);
    witnesses = new RejoinCheck(self, counted);
    proposer = new Proposer(self, incarnation, random);
    planner = new Planner(counted, absentAfter);
  }

  private static AcceptorState found(Store store) {
    try {
      return new AcceptorState(store.foundVoting());
    } catch (MalformedMessageException e) {
      return lost();
    }
  }

  /** What can't be read counts as lost. */
  private static AcceptorState lost() {
    try {
      return new AcceptorState(null);
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  // ---- messages ----

  public void told(long now, String from, ChannelsMessage message) {
    if (message instanceof Ask it) {
      asked(from, it);
    } else if (message instanceof Answer it) {
      answered(from, it);
    } else if (message instanceof Prepare it) {
      prepare(now, from, it);
    } else if (message instanceof Promise it) {
      proposer.promised(now, from, it);
      proposer.lives(it.lives());
    } else if (message instanceof Accept it) {
      accept(now, from, it);
    } else if (message instanceof Accepted it) {
      proposer.accepted(now, from, it);
      proposer.lives(it.lives());
    }
  }

  /**
   * Notes first that a new process is there, and keeps that, so that nothing its earlier ones said
   * counts with this.
   */
  private void asked(String from, Ask ask) {
    voting.started(from, ask.incarnation());
    proposer.lives(List.of(new Life(from, ask.incarnation())));
    store.voting(
        voting.bytes(),
        () ->
            wire.send(
                from,
                new Answer(
                    ask.incarnation(),
                    voting.knows(),
                    journal.decided(),
                    voting.promised(),
                    voting.acceptedIn(),
                    voting.accepted())));
  }

  private void answered(String from, Answer answer) {
    if (answer.incarnation() == incarnation && !witnesses.isDone()) {
      witnesses.answered(from, answer);
    }
  }

  private void prepare(long now, String from, Prepare prepare) {
    proposer.saw(now, prepare.ballot());
    if (journal.decided() >= prepare.slot()) {
      server.cuts(from, prepare.slot());
    } else if (journal.decided() < prepare.slot() - 1) {
      wire.send(from, new CutsWanted(journal.decided() + 1));
    } else if (votes) {
      voting.promise(prepare.ballot());
      store.voting(
          voting.bytes(), () -> wire.send(from, promise(prepare.ballot(), prepare.slot())));
    }
  }

  private Promise promise(Ballot ballot, long slot) {
    return new Promise(
        ballot,
        slot,
        voting.promised(),
        voting.acceptedIn(),
        voting.accepted(),
        incarnation,
        lives());
  }

  private List<Life> lives() {
    List<Life> lives = new ArrayList<>();
    for (String voter : journal.voters()) {
      Long life = voting.lives().get(voter);
      if (life != null) {
        lives.add(new Life(voter, life));
      }
    }
    return lives;
  }

  /**
   * Accepts only what comes next and is held here, all of it: so what is agreed on is held by a
   * majority.
   */
  private void accept(long now, String from, Accept accept) {
    proposer.saw(now, accept.ballot());
    Cut cut = accept.cut();
    if (journal.decided() >= cut.slot()) {
      server.cuts(from, cut.slot());
    } else if (journal.decided() < cut.slot() - 1) {
      wire.send(from, new CutsWanted(journal.decided() + 1));
    } else if (votes && mayAccept(cut)) {
      voting.accept(accept.ballot(), cut);
      store.voting(voting.bytes(), () -> wire.send(from, accepted(accept.ballot(), cut.slot())));
    }
  }

  private Accepted accepted(Ballot ballot, long slot) {
    return new Accepted(ballot, slot, voting.promised(), incarnation, lives());
  }

  private boolean mayAccept(Cut cut) {
    return journal.applied() == journal.decided() && journal.isHeld(cut) && journal.isNext(cut);
  }

  // ---- time ----

  /**
   * @param own up to which stamp this gateway appends nothing any more is in the standings already
   */
  public void turn(long now) {
    dueAt = now + 5000;
    if (!votes) {
      ask(now);
    }
    if (journal.decided() != lastDecided) {
      lastDecided = journal.decided();
      idleSince = now;
      if (proposer.stage() != Proposer.Stage.IDLE && proposer.slot() <= lastDecided) {
        proposer.done();
      }
    }
    if (votes && journal.voters().contains(self) && journal.applied() == journal.decided()) {
      propose(now);
    }
  }

  private void ask(long now) {
    List<String> voters = journal.voters();
    if (witnesses.enough(voters, journal.applied())) {
      witnesses
          .answers()
          .forEach(it -> voting.recall(it.promised(), it.acceptedIn(), it.accepted()));
      voting.knowsNow();
      askedAt = now - ASK_AGAIN - 1;
    }
    if (now - askedAt <= ASK_AGAIN) {
      return;
    }
    askedAt = now;
    if (witnesses.isDone()) {
      store.voting(voting.bytes(), () -> votes = true);
    } else {
      witnesses.others(voters).forEach(other -> wire.send(other, new Ask(incarnation)));
    }
  }

  private void propose(long now) {
    if (proposer.stage() == Proposer.Stage.IDLE) {
      begin(now);
    }
    List<String> voters = journal.voters();
    if (proposer.mayAccept(voters)) {
      Cut bound = proposer.bound(voters);
      Cut cut = bound == null ? plan(now) : bound;
      if (bound == null && cut == null) {
        proposer.done();
        return;
      }
      // What must be taken may not be here yet: those who accepted it have it. Nothing else is
      // tried meanwhile.
      if (mayAccept(cut)) {
        tryStep(now, cut);
      }
    } else if (proposer.isAgreed(voters)) {
      agreed(now);
      return;
    }
    if (proposer.isSendDue(now)) {
      send(voters);
    }
    dueAt = Math.min(dueAt, Math.max(now + 1, proposer.dueAt()));
  }

  private void begin(long now) {
    boolean leads = proposer.leads(journal.voters());
    long notBefore =
        Math.max(
            Math.max(proposer.restUntil(), plannedAt + PLAN_LEAST),
            leads ? steppedAt + STEP_LEAST : 0);
    if (now < notBefore) {
      dueAt = Math.min(dueAt, notBefore);
      return;
    }
    plannedAt = now;
    Cut cut = plan(now);
    if (cut == null) {
      idleSince = now;
    } else if (leads) {
      tryStep(now, cut);
    } else if (now - idleSince >= rank() * TURN_OF_NEXT) {
      proposer.prepare(now, journal.decided() + 1, voting.promised());
      voting.promise(proposer.ballot());
      Ballot ballot = proposer.ballot();
      long slot = proposer.slot();
      store.voting(voting.bytes(), () -> proposer.promised(now, self, promise(ballot, slot)));
    }
  }

  /**
   * How many others have their turn before this one: who led last goes first, then in the order of
   * names.
   */
  private int rank() {
    List<String> voters = journal.voters();
    int last = Math.max(0, voters.indexOf(Proposer.gateway(voting.promised())));
    return Math.floorMod(voters.indexOf(self) - last, voters.size());
  }

  private Cut plan(long now) {
    TreeSet<String> caughtUp = new TreeSet<>();
    TreeSet<String> waitedFor = new TreeSet<>();
    caughtUp.add(self);
    waitedFor.add(self);
    for (String name : wire.membership().names()) {
      ChannelsMessage.Report report = fetcher.report(name);
      if (report != null
          && now - fetcher.reportAt(name) < FRESH
          && report.applied() == journal.applied()) {
        caughtUp.add(name);
      }
      Reachability reach = wire.membership().reachability(name);
      if (reach.isContactable() || reach == Reachability.GONE && counted.contains(name)) {
        waitedFor.add(name);
      }
    }
    return planner.next(now, journal, standings, caughtUp, waitedFor);
  }

  private void tryStep(long now, Cut cut) {
    proposer.accept(now, cut);
    if (voting.accept(proposer.ballot(), cut)) {
      Ballot ballot = proposer.ballot();
      store.voting(
          voting.bytes(), () -> proposer.accepted(now, self, accepted(ballot, cut.slot())));
    } else {
      proposer.stop();
    }
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
        wire.send(voter, message);
      }
    }
  }

  private void agreed(long now) {
    Cut cut = proposer.cut();
    proposer.done();
    steppedAt = now;
    if (journal.learn(cut)) {
      store.cut(cut);
      wire.spread(new Cuts(List.of(cut)), journal.voters());
    }
    journal.apply();
  }

  /** This process was away: whatever it was trying may be settled by now. */
  public void away() {
    proposer.stop();
  }

  public long dueAt() {
    return dueAt;
  }

  public AcceptorState voting() {
    return voting;
  }

  /** Whether it votes: the others have told what it may have agreed to before it started. */
  public boolean votes() {
    return votes;
  }

  public boolean leads() {
    return proposer.leads(journal.voters());
  }
}
