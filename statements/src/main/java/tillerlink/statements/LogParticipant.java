package tillerlink.statements;

import java.util.Optional;
import tillerlink.messages.statements.StatementMessage;
import tillerlink.statements.consensus.RaftVoter;

/** The role of this gateway in the replicated log: voter or learner. */
interface LogParticipant {
  /** Handles a message of another gateway or of this one. */
  void onMessage(String from, StatementMessage message);

  /** Does what is due at the time of the current event. */
  void tick();

  /**
   * Returns when {@link #tick} must be called next at the latest.
   *
   * @return a time in tenths of a millisecond
   */
  long nextDueAt();

  /** Handles the end of a pause of this process. */
  void onPause();

  /** Returns the name of the log's leader; empty if this gateway does not know it. */
  Optional<String> leader();

  /** Returns the voter of this gateway; empty if this gateway is a learner. */
  Optional<RaftVoter> voter();

  /** Returns how many statements this gateway, as the leader, prepared again after changes. */
  long repreparedCount();
}
