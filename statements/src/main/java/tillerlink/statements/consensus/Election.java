package tillerlink.statements.consensus;

import tillerlink.messages.statements.StatementMessage.AskVote;
import tillerlink.messages.statements.StatementMessage.Vote;
import tillerlink.statements.testing.InjectedFault;

/** Elections: standing as a candidate after a pre-vote, voting, and counting votes. */
final class Election {
  private final RaftContext context;
  private final VoterState state;
  private final PreVote preVote;
  private final Runnable onElected;

  /**
   * Sets up elections of one voter.
   *
   * @param onElected begins to lead; the role is the leader's by then
   */
  Election(RaftContext context, VoterState state, Runnable onElected) {
    this.context = context;
    this.state = state;
    this.onElected = onElected;
    preVote = new PreVote(context, state, this::start);
  }

  void onElectionTimeout() {
    state.resetElectionTimer();
    if (canStand()) {
      preVote.start();
    }
  }

  private boolean canStand() {
    Membership membership = context.membership();
    return state.hasRejoined()
        && state.hasCaughtUp()
        && membership.isMember(context.self(), context.identity().disk())
        && membership.excludedVoter(state.commitIndex()) != context.self();
  }

  private void start() {
    Ballot ballot = context.ballot();
    state.becomeCandidate();
    ballot.termIs(ballot.term() + 1);
    ballot.vote(context.voters().self());
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
    if (context.ballot().votes(excluded) >= context.voters().quorum()) {
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
      vote(from, request, upToDate);
    }
  }

  /** Whether the candidate's log is at least as far as this one, and as one to catch up to. */
  private boolean isUpToDate(AskVote request) {
    Log log = context.log();
    return Log.isAtLeast(request.lastTerm(), request.lastIndex(), log.lastTerm(), log.lastIndex())
        && (state.hasCaughtUp() || state.reachesCatchUp(request.lastTerm(), request.lastIndex()));
  }

  private void vote(String from, AskVote request, boolean upToDate) {
    Ballot ballot = context.ballot();
    if (request.term() > ballot.term()) {
      state.becomeFollower(request.term(), VoterState.NO_LEADER);
    }
    boolean granted =
        request.term() == ballot.term()
            && upToDate
            && (ballot.mayVoteFor(from) || context.config().injects(InjectedFault.VOTES_TWICE));
    if (granted) {
      ballot.vote(from);
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
