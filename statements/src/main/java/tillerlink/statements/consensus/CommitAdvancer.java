package tillerlink.statements.consensus;

import tillerlink.messages.statements.StatementMessage.Stage;

/**
 * The component of a voter that raises the commit index on a leader, applies committed entries and
 * compacts the log.
 */
final class CommitAdvancer {
  private final RaftContext context;
  private final VoterState state;
  private final LeaderState leaderState;
  private final VoterRejoin rejoin;
  private final LearnerService learners;

  CommitAdvancer(
      RaftContext context,
      VoterState state,
      LeaderState leaderState,
      VoterRejoin rejoin,
      LearnerService learners) {
    this.context = context;
    this.state = state;
    this.leaderState = leaderState;
    this.rejoin = rejoin;
    this.learners = learners;
  }

  /**
   * Applies the entries that are committed and durable on this voter, after raising the commit
   * index if this voter leads. If entries were applied, completes the rejoin of this voter when it
   * was readmitted, compacts the log when needed and notifies the learners.
   */
  void advance() {
    raiseCommitIndex();
    if (applyCommitted()) {
      long applied = context.machine().applied();
      if (isReadmittedAt(applied)) {
        rejoin.onReadmitted(context.membership().membersAt(applied));
      }
      compactIfNeeded(applied);
      learners.onApplied(state.now(), applied);
    }
  }

  private void raiseCommitIndex() {
    if (state.isLeader()) {
      long highest = leaderState.committableIndex(state.commitIndex(), context.ballot().term());
      if (highest > state.commitIndex()) {
        state.raiseCommitIndex(highest);
        leaderState.expediteHeartbeat();
      }
    }
  }

  private boolean applyCommitted() {
    StateMachine machine = context.machine();
    long upTo = Math.min(state.commitIndex(), context.log().durableIndex());
    boolean applied = false;
    while (machine.applied() < upTo) {
      machine.apply(context.log().get(machine.applied() + 1));
      applied = true;
    }
    return applied;
  }

  /**
   * Returns whether this voter lost its disk and has been readmitted with its new disk.
   *
   * @param applied the index of the last applied entry
   */
  boolean isReadmittedAt(long applied) {
    return context.identity().stage() == Stage.LOST && context.isMemberAt(applied);
  }

  private void compactIfNeeded(long applied) {
    Log log = context.log();
    if (!log.needsSnapshot(applied)) {
      return;
    }
    Membership membership = context.membership();
    log.compact(
        new Snapshot(
            applied,
            log.termAt(applied),
            0,
            0,
            membership.versionAt(applied),
            membership.membersAt(applied),
            context.machine().state()));
    membership.refresh();
  }
}
