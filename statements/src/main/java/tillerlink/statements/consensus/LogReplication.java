package tillerlink.statements.consensus;

import java.util.List;
import tillerlink.cluster.Invariant;
import tillerlink.messages.statements.Command;
import tillerlink.messages.statements.Entry;
import tillerlink.messages.statements.StatementMessage.Append;
import tillerlink.messages.statements.StatementMessage.Appended;
import tillerlink.messages.statements.StatementMessage.Offer;
import tillerlink.messages.statements.StatementMessage.Stage;
import tillerlink.statements.testing.InjectedFault;

/** Raft's log replication: a leader sends append entries, a follower stores them and responds. */
final class LogReplication {
  /** The sequence number of a response that belongs to no append. */
  private static final long NO_SEQUENCE = 0;

  private final RaftContext context;
  private final VoterState state;
  private final LeaderState leaderState;
  private final CommitAdvancer commits;

  LogReplication(
      RaftContext context, VoterState state, LeaderState leaderState, CommitAdvancer commits) {
    this.context = context;
    this.state = state;
    this.leaderState = leaderState;
    this.commits = commits;
  }

  // ---- the leader's side ----

  /**
   * Starts leading by appending an empty entry, because a leader can commit entries of earlier
   * terms only through an entry of its own term.
   */
  void startLeading() {
    leaderState.start(state.now());
    appendAndReplicate(0, 0, new Command.Nothing());
  }

  /**
   * Appends a command to the leader's log and replicates it.
   *
   * @param origin the number of the process that requested the command; 0 for the leader itself
   * @param number the number of the request at that process; 0 for the leader itself
   */
  void appendAndReplicate(long origin, long number, Command command) {
    Log log = context.log();
    log.append(new Entry(log.lastIndex() + 1, context.ballot().term(), origin, number, command));
    if (command instanceof Command.Readmit) {
      context.membership().refresh();
    }
    replicate();
  }

  void replicate() {
    leaderState.replicate(state.now(), this::send);
  }

  private void send(String to, Progress progress) {
    Log log = context.log();
    long sequence = leaderState.nextSequence();
    progress.onSent(state.now(), sequence);
    long term = context.ballot().term();
    if (progress.nextIndex() <= log.base()) {
      context
          .outbox()
          .send(
              to,
              new Offer(
                  context.identity().stamp(),
                  term,
                  log.snapshot().index(),
                  log.snapshotBytes().length));
      return;
    }
    long previous = progress.nextIndex() - 1;
    List<Entry> entries =
        log.entriesFrom(progress.nextIndex(), log.lastIndex(), progress.maxBytes());
    context
        .outbox()
        .send(
            to,
            new Append(
                context.identity().stamp(),
                term,
                sequence,
                previous,
                log.termAt(previous),
                state.commitIndex(),
                entries));
  }

  void onResponse(int voter, Appended response) {
    long term = context.ballot().term();
    if (response.term() > term) {
      state.becomeFollower(response.term(), VoterState.NO_LEADER);
      state.resetElectionTimer();
      return;
    }
    if (state.isLeader()
        && response.term() == term
        && context.membership().isMember(voter, response.stamp().disk())) {
      leaderState.onResponse(state.now(), voter, response);
      commits.advance();
      replicate();
    }
  }

  // ---- the follower's side ----

  /**
   * Returns whether this voter accepts entries: it has rejoined, or it lost its disk. A voter that
   * lost its disk follows the log as well, so that it receives the entry that readmits it.
   */
  boolean acceptsEntries() {
    return state.hasRejoined() || context.identity().stage() == Stage.LOST;
  }

  void onAppend(String from, Append append) {
    if (!acceptsEntries()) {
      return;
    }
    if (!state.acceptLeader(from, append.term())) {
      long term = context.ballot().term();
      context
          .outbox()
          .send(from, new Appended(context.identity().stamp(), term, append.sequence(), false, 0));
      return;
    }
    if (!hasPreviousEntry(append)) {
      rejectAppend(from, append);
      return;
    }
    boolean membersChanged = false;
    for (Entry entry : append.entries()) {
      membersChanged |= storeEntry(entry);
    }
    if (membersChanged) {
      context.membership().refresh();
    }
    long matchIndex = append.prevIndex() + append.entries().size();
    state.raiseCommitIndex(Math.min(append.commit(), matchIndex));
    acknowledge(from, append.sequence(), matchIndex);
  }

  private boolean hasPreviousEntry(Append append) {
    Log log = context.log();
    long previous = append.prevIndex();
    boolean unchecked =
        context.config().injects(InjectedFault.APPENDS_WITHOUT_CHECK)
            && previous <= log.lastIndex();
    return previous <= log.base() || log.termAt(previous) == append.prevTerm() || unchecked;
  }

  /**
   * Rejects an append whose previous entry is missing or has another term, and reports the index
   * after which the leader should continue.
   */
  private void rejectAppend(String from, Append append) {
    Log log = context.log();
    long hint = Math.max(log.base(), Math.min(log.lastIndex(), append.prevIndex() - 1));
    long term = context.ballot().term();
    context
        .durable()
        .whenDurable(
            () ->
                context
                    .outbox()
                    .send(
                        from,
                        new Appended(
                            context.identity().stamp(), term, append.sequence(), false, hint)));
  }

  /**
   * Appends an entry unless the log has it already. Truncates the log first if it has an entry of
   * another term at that index.
   *
   * @return whether the members may have changed
   */
  private boolean storeEntry(Entry entry) {
    Log log = context.log();
    if (entry.index() <= log.base() || log.termAt(entry.index()) == entry.term()) {
      return false;
    }
    boolean membersChanged = entry.command() instanceof Command.Readmit;
    if (entry.index() <= log.lastIndex()) {
      Invariant.holds(
          entry.index() > state.commitIndex(),
          () -> "what is committed is written over at " + entry.index());
      membersChanged = true;
      log.truncateFrom(entry.index());
    }
    if (entry.index() == log.lastIndex() + 1) {
      log.append(entry);
    }
    return membersChanged;
  }

  /** Acknowledges the log up to the last index that a snapshot covers. */
  void acknowledgeSnapshot(String leader, long matchIndex) {
    acknowledge(leader, NO_SEQUENCE, matchIndex);
  }

  private void acknowledge(String leader, long sequence, long matchIndex) {
    Ballot ballot = context.ballot();
    long term = ballot.term();
    context
        .durable()
        .whenDurable(
            () -> {
              if (term == ballot.term()) {
                context
                    .outbox()
                    .send(
                        leader,
                        new Appended(context.identity().stamp(), term, sequence, true, matchIndex));
              }
            });
  }
}
