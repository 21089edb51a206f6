package tillerlink.statements.consensus;

import java.util.random.RandomGenerator;
import tillerlink.cluster.Invariant;

/**
 * The volatile state of a voter: its role, the leader that it follows, its commit index and its
 * election timer. Times are in tenths of a millisecond, by the gateway's clock.
 */
final class VoterState {
  /** The roles of Raft, and an additional one for a voter that requests pre-votes. */
  enum Role {
    FOLLOWER,
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER
  }

  /** The leader's name if no leader is known. */
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

  /**
   * The index of the log position that this voter must reach before it may stand for election and
   * grant leases, because its disk may be an old copy; 0 if it has reached the position.
   */
  private long catchUpIndex;

  /** The term of the entry at {@link #catchUpIndex}. */
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

  /**
   * Returns the name of the leader that this voter follows, or its own name if it leads; {@link
   * #NO_LEADER} if it knows no leader.
   */
  String leader() {
    return isLeader() ? self : leader;
  }

  /**
   * Becomes a follower, and starts the given term if it is higher than the current one.
   *
   * @param newLeader the name of the leader to follow, or {@link #NO_LEADER}
   */
  void becomeFollower(long term, String newLeader) {
    if (term > ballot.term()) {
      ballot.startTerm(term);
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

  /**
   * Follows the sender of append entries or of a snapshot offer.
   *
   * @return false if the sender's term is lower than the current one, so that it is not followed
   */
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

  /**
   * Returns whether this voter leads, or has heard from a leader within the shortest election
   * timeout.
   */
  boolean hasLiveLeader() {
    return role == Role.LEADER || now - leaderHeardAt < RaftTiming.ELECTION_TIMEOUT_MIN;
  }

  /**
   * Restarts the election timeout as if a leader had just been heard, because after a pause nothing
   * is known of the leader and this voter must not start an election at once.
   */
  void assumeLeaderHeard() {
    leaderHeardAt = now;
    resetElectionTimer();
  }

  // ---- election timer ----

  void resetElectionTimer() {
    electionDueAt =
        now + RaftTiming.ELECTION_TIMEOUT_MIN + random.nextLong(RaftTiming.ELECTION_TIMEOUT_SPREAD);
  }

  /** Starts the election timer if it has never been started. */
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
   * Lets this voter take part from now on. It does not vote in terms up to the given one, nor for a
   * candidate whose log ends before the given position until its own log reaches that position.
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

  /** Returns the time at which this voter rejoined after its start; -1 if it has not. */
  long rejoinedAt() {
    return rejoinedAt;
  }

  /** Returns whether the durable log has reached the position that this voter must reach. */
  boolean hasCaughtUp() {
    if (catchUpIndex > 0) {
      long durable = log.durableIndex();
      if (!reachesCatchUp(log.termAt(durable), durable)) {
        return false;
      }
      catchUpIndex = 0;
      catchUpTerm = 0;
    }
    return true;
  }

  /** Returns whether a log that ends at a position reaches the one that this voter must reach. */
  boolean reachesCatchUp(long lastTerm, long lastIndex) {
    return Log.isAtLeastAsUpToDate(lastTerm, lastIndex, catchUpTerm, catchUpIndex);
  }
}
