package tillerlink.statements.consensus;

import tillerlink.messages.statements.Stamp;

/**
 * The tracking of the number of starts of each voter. When a voter has restarted, its vote and its
 * earlier acknowledgements no longer count, and messages that it sent before the restart are
 * dropped.
 */
final class PeerIncarnations {
  private final RaftContext context;
  private final LeaderState leaderState;

  PeerIncarnations(RaftContext context, LeaderState leaderState) {
    this.context = context;
    this.leaderState = leaderState;
  }

  /**
   * Checks the stamp of a message and records the numbers of starts in it.
   *
   * @param voter the index of the sender
   * @return false if the message has to be dropped, because it is from before the sender's last
   *     known start or from a gateway that is configured with other voters
   */
  boolean accept(int voter, Stamp stamp) {
    if (!acceptHello(voter, stamp)) {
      return false;
    }
    recordBoots(voter, stamp.boots());
    return stamp.boots() >= context.identity().boots(voter);
  }

  /**
   * Checks the stamp of a hello from a starting voter and records the numbers of starts in it,
   * except for the sender's own: the response reports the number that was known before the hello.
   *
   * @param voter the index of the sender
   * @return false if the message has to be dropped, because the sender is configured with other
   *     voters
   */
  boolean acceptHello(int voter, Stamp stamp) {
    Voters voters = context.voters();
    if (stamp.voters() != voters.hash() || stamp.seen().size() != voters.count()) {
      return false;
    }
    for (int i = 0; i < voters.count(); i++) {
      if (i != context.self() && i != voter) {
        recordBoots(i, stamp.seen().get(i));
      }
    }
    return true;
  }

  /** Records the number of starts of a voter; a higher one revokes its vote and progress. */
  void recordBoots(int voter, long boots) {
    if (boots > context.identity().boots(voter)) {
      context.identity().setBoots(voter, boots);
      context.ballot().revokeVote(voter);
      leaderState.resetProgress(voter);
    }
  }
}
