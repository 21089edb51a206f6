package tillerlink.statements.consensus;

import tillerlink.messages.statements.Stamp;

/**
 * Tracks how often each voter started. A voter that restarted has withdrawn its votes and earlier
 * acknowledgements; messages of an earlier start are dropped.
 */
final class PeerIncarnations {
  private final RaftContext context;
  private final LeaderState leaderState;

  PeerIncarnations(RaftContext context, LeaderState leaderState) {
    this.context = context;
    this.leaderState = leaderState;
  }

  /** Takes in a message's stamp; false if the message is to be dropped. */
  boolean accept(int voter, Stamp stamp) {
    if (!acceptGreeting(voter, stamp)) {
      return false;
    }
    noteStarts(voter, stamp.boots());
    return stamp.boots() >= context.identity().boots(voter);
  }

  /**
   * Takes in the stamp of a starting voter's greeting, but not yet how often that voter started:
   * the response tells what was known before. False if the greeting is to be dropped.
   */
  boolean acceptGreeting(int voter, Stamp stamp) {
    Voters voters = context.voters();
    if (stamp.voters() != voters.hash() || stamp.seen().size() != voters.count()) {
      return false;
    }
    for (int i = 0; i < voters.count(); i++) {
      if (i != context.self() && i != voter) {
        noteStarts(i, stamp.seen().get(i));
      }
    }
    return true;
  }

  /** That voter started so many times. */
  void noteStarts(int voter, long boots) {
    if (boots > context.identity().boots(voter)) {
      context.identity().bootsAre(voter, boots);
      context.ballot().revokeVote(voter);
      leaderState.resetProgress(voter);
    }
  }
}
