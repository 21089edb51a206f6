package tillerlink.statements;

import java.util.Optional;
import tillerlink.messages.statements.StatementMessage;
import tillerlink.statements.consensus.RaftVoter;

/** How this gateway takes part in the replicated log: as a voter or as a learner. */
interface LogParticipant {
  void onMessage(String from, StatementMessage message);

  void tick();

  long nextDueAt();

  void onPause();

  /** The leader of the log; empty if it is not known here. */
  Optional<String> leader();

  /** The voter of this gateway; empty if it is none. */
  Optional<RaftVoter> voter();

  /** How many statements this gateway prepared again as the leader, after changes. */
  long repreparedCount();
}
