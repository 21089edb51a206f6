package tillerlink.statements.consensus;

import java.util.random.RandomGenerator;
import tillerlink.cluster.Invariant;

/**
 * A voter's volatile state: its role, the leader that it follows, its commit index and its election
 * timer. Times are in tenths of a millisecond, by the gateway's clock.
 */
final class VoterState {
  /** Raft's roles, with one more for a voter that asks for pre-votes. */
  enum Role {
    FOLLOWER,
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER
  }

  /** Stands for no leader. */
  static final String NO_LEADER = "";

  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final long NOT_REJOINED = -1;

  private final String self;
  private final Ballot ballot;
  private final Log log;
  private final RandomGenerator random;
  private Role role = Role.FOLLOWER;
  private String leader = NO_LEADER;
  private long commitIndex;
  private long leaderHeardAt = NEVER;
  private long electionDueAt;
  private long rejoinedAt = NOT_REJOINED;
  private long now;

  /** The log position that a voter from a doubtful disk must reach before it is as any other. */
  private long catchUpIndex;

  private long catchUpTerm;

  VoterState(String self, Ballot ballot, Log log, RandomGenerator random) {
    this.self = self;
    this.ballot = ballot;
    this.log = log;
    this.random = random;
  }

  long now() {
    return now;
  }

  void setNow(long at) {
    now = at;
  }

  // ---- role and leader ----

  Role role() {
    return role;
  }

  boolean isLeader() {
    return role == Role.LEADER;
  }

  /** The name of the leader that this voter follows or is; {@link #NO_LEADER} if it knows none. */
  String leader() {
    return isLeader() ? self : leader;
  }

  /** Becomes a follower, in that term if it is higher than the current one. */
  void becomeFollower(long term, String newLeader) {
    if (term > ballot.term()) {
      ballot.termIs(term);
    }
    if (role != Role.FOLLOWER) {
      role = Role.FOLLOWER;
      resetElectionTimer();
    }
    leader = newLeader;
  }

  void becomePreCandidate() {
    role = Role.PRE_CANDIDATE;
    leader = NO_LEADER;
  }

  void becomeCandidate() {
    role = Role.CANDIDATE;
  }

  void becomeLeader() {
    role = Role.LEADER;
    leader = self;
  }

  /** Follows the sender of append entries or of a snapshot, unless its term is an earlier one. */
  boolean acceptLeader(String from, long term) {
    if (term < ballot.term()) {
      return false;
    }
    Invariant.holds(
        role != Role.LEADER || term > ballot.term(), () -> "two leaders in term " + term);
    Invariant.holds(
        term > ballot.term() || leader.isEmpty() || leader.equals(from),
        () -> "two leaders in term " + term + ": " + leader + " and " + from);
    becomeFollower(term, from);
    leaderHeardAt = now;
    resetElectionTimer();
    return true;
  }

  /** Whether this voter leads, or heard a leader within the shortest election timeout. */
  boolean hasLiveLeader() {
    return role == Role.LEADER || now - leaderHeardAt < RaftTiming.ELECTION_TIMEOUT_MIN;
  }

  /** After a pause nothing is known of the leader: an election timeout passes first. */
  void assumeLeaderHeard() {
    leaderHeardAt = now;
    resetElectionTimer();
  }

  // ---- election timer ----

  void resetElectionTimer() {
    electionDueAt =
        now + RaftTiming.ELECTION_TIMEOUT_MIN + random.nextLong(RaftTiming.ELECTION_TIMEOUT_SPREAD);
  }

  /** Sets the timer on the first event-loop iteration. */
  void startElectionTimer() {
    if (electionDueAt == 0) {
      resetElectionTimer();
    }
  }

  long electionDueAt() {
    return electionDueAt;
  }

  // ---- commit index ----

  long commitIndex() {
    return commitIndex;
  }

  void raiseCommitIndex(long index) {
    commitIndex = Math.max(commitIndex, index);
  }

  // ---- rejoin ----

  /**
   * This voter takes part from now on; it votes for nobody whose log is behind that position until
   * its own log reaches it.
   */
  void rejoin(long term, long lastTerm, long lastIndex) {
    ballot.forbidVotesUpTo(term);
    catchUpTerm = lastTerm;
    catchUpIndex = lastIndex;
    rejoinedAt = now;
    resetElectionTimer();
  }

  boolean hasRejoined() {
    return rejoinedAt != NOT_REJOINED;
  }

  /** When this voter rejoined since its start; -1 if it has not. */
  long rejoinedAt() {
    return rejoinedAt;
  }

  /** Whether the durable log reached the position that this voter has to catch up to. */
  boolean hasCaughtUp() {
    if (catchUpIndex > 0) {
      long durable = log.durable();
      if (!reachesCatchUp(log.term(durable), durable)) {
        return false;
      }
      catchUpIndex = 0;
      catchUpTerm = 0;
    }
    return true;
  }

  /** Whether a log that ends there reaches the position that this voter has to catch up to. */
  boolean reachesCatchUp(long lastTerm, long lastIndex) {
    return Log.isAtLeast(lastTerm, lastIndex, catchUpTerm, catchUpIndex);
  }
}
