package tillerlink.statements.consensus;

import java.util.function.Consumer;
import tillerlink.messages.statements.StatementMessage.AskVote;

/**
 * What the parts of one voter work on together.
 *
 * @param self the index of this voter among the voters' names
 * @param warnings lines for the operator's log
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

  /** Sends a vote request, or a pre-vote request, for that term to every other voter. */
  void requestVotes(boolean preVote, long term) {
    for (String name : voters.names()) {
      if (!name.equals(voters.self())) {
        outbox.send(
            name, new AskVote(identity.stamp(), term, log.lastTerm(), log.lastIndex(), preVote));
      }
    }
  }

  /** Whether the members as of that applied index include this voter with this disk. */
  boolean isMemberAt(long applied) {
    var members = membership.membersAt(applied);
    return self < members.size() && members.get(self) == identity.disk();
  }
}
