package tillerlink.statements.consensus;

import tillerlink.messages.statements.StatementMessage.AskVote;
import tillerlink.messages.statements.StatementMessage.Vote;

/**
 * The pre-vote round before an election. A voter increases its term only after a majority has
 * confirmed that it would vote for it, so that a voter that returns from a partition does not
 * depose a working leader.
 */
final class PreVote {
  private final RaftContext context;
  private final VoterState state;
  private final Runnable onMajority;

  /**
   * Creates the pre-vote component of one voter.
   *
   * @param onMajority run when a majority granted the pre-vote; starts the election
   */
  PreVote(RaftContext context, VoterState state, Runnable onMajority) {
    this.context = context;
    this.state = state;
    this.onMajority = onMajority;
  }

  void start() {
    state.becomePreCandidate();
    context.ballot().clearVotes();
    countVote(context.self());
    context.requestVotes(true, context.ballot().term() + 1);
  }

  private void countVote(int voter) {
    context.ballot().recordVote(voter);
    int excluded = context.membership().excludedVoter(state.commitIndex());
    if (context.ballot().countVotes(excluded) >= context.voters().quorum()) {
      onMajority.run();
    }
  }

  void onRequest(String from, AskVote request, boolean upToDate) {
    boolean granted = upToDate && request.term() > context.ballot().term();
    context
        .outbox()
        .send(from, new Vote(context.identity().stamp(), request.term(), true, granted));
  }

  void onVote(int voter, Vote vote) {
    boolean current =
        state.role() == VoterState.Role.PRE_CANDIDATE && vote.term() == context.ballot().term() + 1;
    if (current && vote.given() && context.membership().isMember(voter, vote.stamp().disk())) {
      countVote(voter);
    }
  }
}
