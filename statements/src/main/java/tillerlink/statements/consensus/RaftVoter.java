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
 * One voter of the replicated log, which uses Raft: elections with a pre-vote, log replication and
 * snapshots. Before a voter takes part it has to rejoin, see {@link VoterRejoin}.
 *
 * <p>A voter does no I/O itself and is owned by the gateway's event loop: every method is called
 * only from that thread. Times are in tenths of a millisecond.
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
   * @param config the configuration
   * @param voters the configured voters, which include this gateway
   * @param outbox sends messages to other gateways
   * @param store the store of the durable state
   * @param random the source of election timeouts, disk numbers and nonces
   * @param machine the state machine that committed entries are applied to
   * @param warnings receives lines for the operator's log
   * @throws MalformedMessageException if the stored state cannot be decoded
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

  /**
   * Returns whether this voter considers itself the leader. Another voter may lead a later term
   * already.
   */
  public boolean isLeader() {
    return state.isLeader();
  }

  /**
   * Returns the name of the leader that this voter follows, or its own name if it leads; empty if
   * it knows no leader.
   */
  public Optional<String> leader() {
    return Optional.of(state.leader()).filter(name -> !name.equals(VoterState.NO_LEADER));
  }

  /** Returns the current term. */
  public long term() {
    return context.ballot().term();
  }

  /** Returns the commit index. */
  public long commitIndex() {
    return state.commitIndex();
  }

  /**
   * Returns whether this voter may grant leases: it has rejoined, its storage works, and its
   * durable log contains every entry that it ever acknowledged.
   */
  public boolean isOperational() {
    return state.hasRejoined() && !context.durable().hasFailed() && state.hasCaughtUp();
  }

  /**
   * Returns the time at which this voter rejoined after its start.
   *
   * @return the time, in tenths of a millisecond; -1 if it has not rejoined yet
   */
  public long rejoinedAt() {
    return state.rejoinedAt();
  }

  /** Returns the name of this voter's gateway. */
  public String name() {
    return context.voters().self();
  }

  /** Returns the number that was assigned to this voter's disk when it was empty. */
  public long disk() {
    return context.identity().disk();
  }

  /**
   * Returns the numbers of the disks that vote, in the order of the voters' names; empty if they
   * are not known yet.
   */
  public List<Long> members() {
    return context.membership().members();
  }

  /** Returns the index of the log entry that last changed the members; 0 if none did. */
  public long membersVersion() {
    return context.membership().version();
  }

  /**
   * Returns the stamp that this voter puts on its messages: its disk, and the number of starts of
   * each voter.
   */
  public Stamp stamp() {
    return context.identity().stamp();
  }

  /**
   * Returns whether a voter is a member with a disk, according to the log of this voter.
   *
   * @param voter the name of the voter
   * @param memberDisk the number of its disk
   */
  public boolean isMember(String voter, long memberDisk) {
    return context.membership().isMember(context.voters().indexOf(voter), memberDisk);
  }

  /**
   * Returns whether the log has an entry after an index that announces a change of a table group,
   * committed or not.
   *
   * @param applied the index of the last entry that is not considered
   * @param group the number of the table group
   */
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

  /**
   * Runs an action once all writes so far are durable; drops it if the store has failed.
   *
   * @param action the action
   */
  public void whenDurable(Runnable action) {
    context.durable().whenDurable(action);
  }

  // ---- events ----

  /**
   * Appends a command to the log if this voter leads, its storage works and the number of
   * uncommitted entries allows it.
   *
   * @param now the current time, in tenths of a millisecond
   * @param origin the number of the process that requested the command; 0 for the leader itself
   * @param number the number of the request at that process
   * @param command the command
   * @return whether the command was appended, which does not mean that it is or will be committed
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

  /**
   * Runs the tasks that are due; called on each event-loop iteration.
   *
   * @param now the current time, in tenths of a millisecond
   */
  public void tick(long now) {
    state.setNow(now);
    state.startElectionTimer();
    if (context.durable().hasFailed()) {
      retryStorage();
      return;
    }
    RaftConfig config = context.config();
    if (config.vouched() || config.injects(InjectedFault.TRUSTS_RESTORED_DISK)) {
      rejoin.skipHandshake();
    }
    rejoin.tick(now);
    snapshots.tick();
    if (state.isLeader()) {
      replicateOrStepDown();
    } else if (now >= state.electionDueAt()) {
      election.onElectionTimeout();
    }
    commits.advance();
  }

  /**
   * Returns the latest time of the next call of {@link #tick}.
   *
   * @return the time, in tenths of a millisecond
   */
  public long nextDueAt() {
    if (context.durable().hasFailed()) {
      return storageRetryAt;
    }
    long roleDueAt = state.isLeader() ? leaderState.nextDueAt() : state.electionDueAt();
    return Math.min(Math.min(roleDueAt, rejoin.nextDueAt()), snapshots.nextDueAt());
  }

  /**
   * Handles a pause of the process: a leader steps down, and this voter starts no election before
   * an election timeout has passed.
   *
   * @param now the current time, in tenths of a millisecond
   */
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

  private void replicateOrStepDown() {
    if (leaderState.hasLostMajority(state.now())) {
      stepDown();
      state.resetElectionTimer();
    } else {
      replication.replicate();
    }
  }

  /**
   * Writes the whole durable state again at an interval, because the storage has rejected a write.
   */
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
    context.durable().resumeWrites();
    context.ballot().persist();
    context.identity().persist();
    context.log().rewrite();
  }

  // ---- messages ----

  /**
   * Handles a message of the log's protocol and ignores other messages.
   *
   * @param now the current time, in tenths of a millisecond
   * @param from the name of the sending gateway
   * @param message the message
   */
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
    if (message instanceof Hello hello && incarnations.acceptHello(voter, hello.stamp())) {
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
