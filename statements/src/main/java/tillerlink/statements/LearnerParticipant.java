package tillerlink.statements;

import java.util.Optional;
import tillerlink.messages.statements.StatementMessage;
import tillerlink.statements.consensus.Learner;
import tillerlink.statements.consensus.RaftVoter;

/** The participation of a gateway without a vote: it follows the log and never knows the leader. */
final class LearnerParticipant implements LogParticipant {
  private final EventClock clock;
  private final Learner learner;

  LearnerParticipant(EventClock clock, Learner learner) {
    this.clock = clock;
    this.learner = learner;
  }

  @Override
  public void onMessage(String from, StatementMessage message) {
    learner.onMessage(clock.now(), from, message);
  }

  @Override
  public void tick() {
    learner.tick(clock.now());
  }

  @Override
  public long nextDueAt() {
    return learner.nextDueAt();
  }

  @Override
  public void onPause() {}

  @Override
  public Optional<String> leader() {
    return Optional.empty();
  }

  @Override
  public Optional<RaftVoter> voter() {
    return Optional.empty();
  }

  @Override
  public long repreparedCount() {
    return 0;
  }
}
