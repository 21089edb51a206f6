package tillerlink.statements.consensus;

import tillerlink.messages.statements.StatementMessage.AskVote;
import tillerlink.messages.statements.StatementMessage.Vote;
import tillerlink.statements.testing.InjectedFault;

/** Raft's leader election: pre-vote, election, votes for others, and vote counting. */
final class Election {
  private final RaftContext context;
  private final VoterState state;
  private final PreVote preVote;
  private final Runnable onElected;

  /**
   * Creates the election component of one voter.
   *
   * @param onElected run when this voter has won an election; its role is already leader then
   */
  Election(RaftContext context, VoterState state, Runnable onElected) {
    this.context = context;
    this.state = state;
    this.onElected = onElected;
    preVote = new PreVote(context, state, this::start);
  }

  void onElectionTimeout() {
    state.resetElectionTimer();
    if (canStartElection()) {
      preVote.start();
    }
  }

  private boolean canStartElection() {
    Membership membership = context.membership();
    return state.hasRejoined()
        && state.hasCaughtUp()
        && membership.isMember(context.self(), context.identity().disk())
        && membership.excludedVoter(state.commitIndex()) != context.self();
  }

  private void start() {
    Ballot ballot = context.ballot();
    state.becomeCandidate();
    ballot.startTerm(ballot.term() + 1);
    ballot.voteFor(context.voters().self());
    long term = ballot.term();
    context
        .durable()
        .whenDurable(
            () -> {
              if (state.role() == VoterState.Role.CANDIDATE && ballot.term() == term) {
                context.requestVotes(false, term);
                countVote(context.self());
              }
            });
  }

  private void countVote(int voter) {
    context.ballot().recordVote(voter);
    int excluded = context.membership().excludedVoter(state.commitIndex());
    if (context.ballot().countVotes(excluded) >= context.voters().quorum()) {
      state.becomeLeader();
      onElected.run();
    }
  }

  void onVoteRequest(String from, int voter, AskVote request) {
    boolean member = context.membership().isMember(voter, request.stamp().disk());
    if (!state.hasRejoined() || !member || state.hasLiveLeader()) {
      return;
    }
    boolean upToDate = isUpToDate(request);
    if (request.pre()) {
      preVote.onRequest(from, request, upToDate);
    } else {
      respondToVoteRequest(from, request, upToDate);
    }
  }

  /**
   * Returns whether the candidate's log is at least as up to date as the log of this voter and, if
   * this voter has not caught up yet, as the position that it has to reach.
   */
  private boolean isUpToDate(AskVote request) {
    Log log = context.log();
    return Log.isAtLeastAsUpToDate(
            request.lastTerm(), request.lastIndex(), log.lastTerm(), log.lastIndex())
        && (state.hasCaughtUp() || state.reachesCatchUp(request.lastTerm(), request.lastIndex()));
  }

  private void respondToVoteRequest(String from, AskVote request, boolean upToDate) {
    Ballot ballot = context.ballot();
    if (request.term() > ballot.term()) {
      state.becomeFollower(request.term(), VoterState.NO_LEADER);
    }
    boolean granted =
        request.term() == ballot.term()
            && upToDate
            && (ballot.mayVoteFor(from) || context.config().injects(InjectedFault.VOTES_TWICE));
    if (granted) {
      ballot.voteFor(from);
      state.resetElectionTimer();
    }
    long term = ballot.term();
    context
        .durable()
        .whenDurable(
            () ->
                context
                    .outbox()
                    .send(from, new Vote(context.identity().stamp(), term, false, granted)));
  }

  void onVote(int voter, Vote vote) {
    if (vote.pre()) {
      preVote.onVote(voter, vote);
      return;
    }
    long term = context.ballot().term();
    if (vote.term() > term) {
      state.becomeFollower(vote.term(), VoterState.NO_LEADER);
    }
    boolean current = state.role() == VoterState.Role.CANDIDATE && vote.term() == term;
    if (current && vote.given() && context.membership().isMember(voter, vote.stamp().disk())) {
      countVote(voter);
    }
  }
}
