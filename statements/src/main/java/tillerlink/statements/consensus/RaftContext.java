package tillerlink.statements.consensus;

import java.util.function.Consumer;
import tillerlink.messages.statements.StatementMessage.AskVote;

/**
 * The state and collaborators that the components of one voter share.
 *
 * @param voters the configured voters
 * @param self the index of this voter among the voters' names
 * @param config the configuration of this voter
 * @param outbox sends messages to other gateways
 * @param machine the state machine that committed entries are applied to
 * @param warnings receives lines for the operator's log
 * @param durable the durable state of this voter
 * @param log the log of this voter
 * @param identity the identity of this voter
 * @param ballot the term and vote of this voter
 * @param membership the disks that vote
 */
record RaftContext(
    Voters voters,
    int self,
    RaftConfig config,
    Outbox outbox,
    StateMachine machine,
    Consumer<String> warnings,
    DurableState durable,
    Log log,
    Identity identity,
    Ballot ballot,
    Membership membership) {

  /** Sends a vote request or a pre-vote request for a term to every other voter. */
  void requestVotes(boolean preVote, long term) {
    for (String name : voters.names()) {
      if (!name.equals(voters.self())) {
        outbox.send(
            name, new AskVote(identity.stamp(), term, log.lastTerm(), log.lastIndex(), preVote));
      }
    }
  }

  /** Returns whether this voter's disk is a member as of an applied index. */
  boolean isMemberAt(long applied) {
    var members = membership.membersAt(applied);
    return self < members.size() && members.get(self) == identity.disk();
  }
}
