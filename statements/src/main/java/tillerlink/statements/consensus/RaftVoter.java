package tillerlink.statements.consensus;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import tillerlink.cluster.KeyValueStore;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Command;
import tillerlink.messages.statements.Stamp;
import tillerlink.messages.statements.StatementMessage;
import tillerlink.messages.statements.StatementMessage.Append;
import tillerlink.messages.statements.StatementMessage.Appended;
import tillerlink.messages.statements.StatementMessage.AskPiece;
import tillerlink.messages.statements.StatementMessage.AskVote;
import tillerlink.messages.statements.StatementMessage.Fetch;
import tillerlink.messages.statements.StatementMessage.Hello;
import tillerlink.messages.statements.StatementMessage.Offer;
import tillerlink.messages.statements.StatementMessage.Piece;
import tillerlink.messages.statements.StatementMessage.Seen;
import tillerlink.messages.statements.StatementMessage.Stage;
import tillerlink.messages.statements.StatementMessage.Vote;
import tillerlink.statements.testing.InjectedFault;

/**
 * One voter of the replicated log, by Raft: elections with a pre-vote, log replication and
 * snapshots; before it takes part it rejoins by {@link VoterRejoin}. It does no I/O itself and is
 * owned by the gateway's event loop: every method is called from that thread alone. Times are in
 * tenths of a millisecond.
 */
public final class RaftVoter {
  private final RaftContext context;
  private final VoterState state;
  private final LeaderState leaderState;
  private final LearnerService learners;
  private final VoterRejoin rejoin;
  private final CommitAdvancer commits;
  private final LogReplication replication;
  private final Election election;
  private final SnapshotInstallation snapshots;
  private final PeerIncarnations incarnations;
  private final RejoinResponder rejoinResponder;
  private long storageRetryAt;

  /**
   * Restores a voter from its durable state.
   *
   * @param warnings lines for the operator's log
   * @throws MalformedMessageException if the stored state can't be read
   */
  public RaftVoter(
      RaftConfig config,
      Voters voters,
      Outbox outbox,
      KeyValueStore store,
      RandomGenerator random,
      StateMachine machine,
      Consumer<String> warnings)
      throws MalformedMessageException {
    int self = voters.indexOf(voters.self());
    DurableState durable =
        new DurableState(store, config.injects(InjectedFault.RESPONDS_BEFORE_DURABLE));
    Log log = new Log(durable, new Snapshot(0, 0, 0, 0, 0, List.of(), machine.state()));
    Identity identity = new Identity(voters, durable, random);
    Ballot ballot = new Ballot(durable);
    List<Long> founders = identity.stage() == Stage.FOUNDED ? identity.pledge() : List.of();
    Membership membership = new Membership(voters, log, founders);
    context =
        new RaftContext(
            voters,
            self,
            config,
            outbox,
            machine,
            warnings,
            durable,
            log,
            identity,
            ballot,
            membership);
    state = new VoterState(voters.self(), ballot, log, random);
    rejoin = new VoterRejoin(context, random, state::rejoin);
    leaderState = new LeaderState(voters, self, config, log, membership);
    learners = new LearnerService(outbox);
    commits = new CommitAdvancer(context, state, leaderState, rejoin, learners);
    replication = new LogReplication(context, state, leaderState, commits);
    election = new Election(context, state, replication::startLeading);
    snapshots = new SnapshotInstallation(context, state, replication, commits, rejoin);
    incarnations = new PeerIncarnations(context, leaderState);
    rejoinResponder = new RejoinResponder(context, state, leaderState, incarnations, replication);
    if (log.snapshot().index() > 0) {
      machine.install(log.snapshot().state());
    }
    state.raiseCommitIndex(machine.applied());
  }

  // ---- state ----

  /** Whether this voter leads, as far as it knows. */
  public boolean isLeader() {
    return state.isLeader();
  }

  /** The leader that this voter follows, or itself; empty if it knows none. */
  public Optional<String> leader() {
    return Optional.of(state.leader()).filter(name -> !name.equals(VoterState.NO_LEADER));
  }

  /** The current term. */
  public long term() {
    return context.ballot().term();
  }

  /** The commit index. */
  public long commitIndex() {
    return state.commitIndex();
  }

  /**
   * Whether this voter may grant leases: it has rejoined, its storage works, and its durable log
   * holds all that it ever acknowledged.
   */
  public boolean isOperational() {
    return state.hasRejoined() && !context.durable().hasFailed() && state.hasCaughtUp();
  }

  /** When this voter rejoined since its start, in tenths of a millisecond; -1 if it has not. */
  public long rejoinedAt() {
    return state.rejoinedAt();
  }

  /** The name of this voter's gateway. */
  public String name() {
    return context.voters().self();
  }

  /** The number that this voter's disk was given when it was empty. */
  public long disk() {
    return context.identity().disk();
  }

  /** The disks that vote, in the order of the voters' names; empty if they are not known yet. */
  public List<Long> members() {
    return context.membership().members();
  }

  /** The log index that the members date from. */
  public long membersVersion() {
    return context.membership().version();
  }

  /** The stamp of this voter's messages: its disk, and how often each voter started. */
  public Stamp stamp() {
    return context.identity().stamp();
  }

  /** Whether that voter is a member with that disk, as far as the log says. */
  public boolean isMember(String voter, long itsDisk) {
    return context.membership().isMember(context.voters().indexOf(voter), itsDisk);
  }

  /** Whether the log announces a change of the group after that index, committed or not. */
  public boolean hasAnnouncementAfter(long applied, int group) {
    Log log = context.log();
    for (long i = Math.max(applied, log.base()) + 1; i <= log.lastIndex(); i++) {
      if (log.get(i).command() instanceof Command.Announce announce
          && announce.change().groups().contains(group)) {
        return true;
      }
    }
    return false;
  }

  /** Runs the action once everything written so far would survive a crash. */
  public void whenDurable(Runnable action) {
    context.durable().whenDurable(action);
  }

  // ---- events ----

  /**
   * Appends a command to the log if this voter leads and has capacity for it.
   *
   * @param origin the process that asks, 0 for the leader itself
   * @param number the number of the request there
   * @return whether it was appended; it is not committed by that
   */
  public boolean propose(long now, long origin, long number, Command command) {
    state.setNow(now);
    if (!state.isLeader()
        || context.durable().hasFailed()
        || !leaderState.hasCapacity(state.commitIndex())) {
      return false;
    }
    replication.appendAndReplicate(origin, number, command);
    commits.advance();
    return true;
  }

  /** Runs what is due; called on each event-loop iteration. */
  public void tick(long now) {
    state.setNow(now);
    state.startElectionTimer();
    if (context.durable().hasFailed()) {
      retryStorage();
      return;
    }
    RaftConfig config = context.config();
    if (config.vouched() || config.injects(InjectedFault.TRUSTS_RESTORED_DISK)) {
      rejoin.skipInquiry();
    }
    rejoin.tick(now);
    snapshots.tick();
    if (state.isLeader()) {
      lead();
    } else if (now >= state.electionDueAt()) {
      election.onElectionTimeout();
    }
    commits.advance();
  }

  /** When {@link #tick} is to be called next, at the latest. */
  public long nextDueAt() {
    if (context.durable().hasFailed()) {
      return storageRetryAt;
    }
    long own = state.isLeader() ? leaderState.nextDueAt() : state.electionDueAt();
    return Math.min(Math.min(own, rejoin.nextDueAt()), snapshots.nextDueAt());
  }

  /** The process was paused: a leader steps down, and no election starts for a timeout. */
  public void onPause(long now) {
    state.setNow(now);
    stepDown();
    state.assumeLeaderHeard();
  }

  private void stepDown() {
    if (state.isLeader()) {
      state.becomeFollower(context.ballot().term(), VoterState.NO_LEADER);
    }
  }

  private void lead() {
    if (leaderState.hasLostMajority(state.now())) {
      stepDown();
      state.resetElectionTimer();
    } else {
      replication.replicate();
    }
  }

  /** The storage refused a write: the whole durable state is written again from time to time. */
  private void retryStorage() {
    stepDown();
    if (state.now() < storageRetryAt) {
      return;
    }
    storageRetryAt = state.now() + RaftTiming.STORAGE_RETRY_INTERVAL;
    context
        .warnings()
        .accept(
            "this voter's disk rejected a write: the voter does not take part in the statement log"
                + " until a write succeeds");
    context.durable().retry();
    context.ballot().persist();
    context.identity().persist();
    context.log().rewrite();
  }

  // ---- messages ----

  /** Takes a message of the log's protocol; others are ignored. */
  public void onMessage(long now, String from, StatementMessage message) {
    state.setNow(now);
    if (message instanceof Fetch fetch) {
      learners.onFetch(now, from, fetch, context.log(), context.machine().applied());
    } else if (message instanceof AskPiece request) {
      snapshots.onPieceRequest(from, request);
    } else if (message instanceof Piece piece) {
      snapshots.onPiece(from, piece);
    } else {
      int voter = context.voters().indexOf(from);
      if (voter >= 0 && voter != context.self() && !context.durable().hasFailed()) {
        onRejoinMessage(from, voter, message);
        onElectionMessage(from, voter, message);
        onReplicationMessage(from, voter, message);
      }
    }
  }

  private void onRejoinMessage(String from, int voter, StatementMessage message) {
    if (message instanceof Hello hello && incarnations.acceptGreeting(voter, hello.stamp())) {
      rejoinResponder.onHello(from, voter, hello);
    } else if (message instanceof Seen response && incarnations.accept(voter, response.stamp())) {
      rejoin.onResponse(voter, response);
    }
  }

  private void onElectionMessage(String from, int voter, StatementMessage message) {
    if (message instanceof AskVote request && incarnations.accept(voter, request.stamp())) {
      election.onVoteRequest(from, voter, request);
    } else if (message instanceof Vote vote && incarnations.accept(voter, vote.stamp())) {
      election.onVote(voter, vote);
    }
  }

  private void onReplicationMessage(String from, int voter, StatementMessage message) {
    if (message instanceof Append append && incarnations.accept(voter, append.stamp())) {
      replication.onAppend(from, append);
    } else if (message instanceof Appended response
        && incarnations.accept(voter, response.stamp())) {
      replication.onResponse(voter, response);
    } else if (message instanceof Offer offer && incarnations.accept(voter, offer.stamp())) {
      snapshots.onOffer(from, offer);
    }
  }
}
