package tillerlink.statements.consensus;

import java.util.Arrays;
import java.util.function.BiConsumer;
import tillerlink.messages.statements.StatementMessage.Appended;
import tillerlink.statements.testing.InjectedFault;

/**
 * The replication progress of the other voters as a leader knows it, and the commit index that
 * follows from it. Times are in tenths of a millisecond.
 */
final class LeaderState {
  private static final int UNCOMMITTED_MAX = 512;

  /** Time for which a voter's old disk must be silent before a new disk may replace it. */
  private static final long SILENCE_BEFORE_READMISSION = 15_000;

  private final Voters voters;
  private final int self;
  private final RaftConfig config;
  private final Log log;
  private final Membership membership;
  private final Progress[] progress;
  private long sequence;
  private long heartbeatDueAt;
  private boolean hasLed;

  LeaderState(Voters voters, int self, RaftConfig config, Log log, Membership membership) {
    this.voters = voters;
    this.self = self;
    this.config = config;
    this.log = log;
    this.membership = membership;
    progress = new Progress[voters.count()];
  }

  /** Resets the progress of all voters at the start of a term as leader. */
  void start(long now) {
    for (int i = 0; i < progress.length; i++) {
      progress[i] = new Progress(log.lastIndex() + 1, now);
    }
    heartbeatDueAt = now;
    hasLed = true;
  }

  long nextSequence() {
    return ++sequence;
  }

  /** Returns whether the number of uncommitted entries allows one more to be appended. */
  boolean hasCapacity(long commitIndex) {
    return log.lastIndex() - commitIndex < UNCOMMITTED_MAX;
  }

  long nextDueAt() {
    return heartbeatDueAt;
  }

  /**
   * Makes a heartbeat due at once, so that the other voters learn of a higher commit index with the
   * next replication.
   */
  void expediteHeartbeat() {
    heartbeatDueAt = Math.min(heartbeatDueAt, 0);
  }

  /**
   * Sends to all other voters if a heartbeat is due, otherwise only to those that lack entries.
   *
   * @param send sends append entries or a snapshot offer to the named voter
   */
  void replicate(long now, BiConsumer<String, Progress> send) {
    boolean heartbeat = now >= heartbeatDueAt;
    for (int i = 0; i < progress.length; i++) {
      if (i != self && (heartbeat || progress[i].needsEntries(log.lastIndex(), now))) {
        send.accept(voters.names().get(i), progress[i]);
      }
    }
    if (heartbeat) {
      heartbeatDueAt = now + RaftTiming.HEARTBEAT_INTERVAL;
    }
  }

  void onResponse(long now, int voter, Appended response) {
    progress[voter].onResponse(now, response, log.lastIndex());
  }

  /**
   * Returns whether fewer voters than a majority responded within twice the shortest election
   * timeout, so that there may be another leader by now.
   */
  boolean hasLostMajority(long now) {
    int heardVoters = 1;
    for (int i = 0; i < progress.length; i++) {
      boolean live = now - progress[i].heardAt() < 2 * RaftTiming.ELECTION_TIMEOUT_MIN;
      heardVoters += i != self && live ? 1 : 0;
    }
    return heardVoters < voters.quorum();
  }

  /**
   * Returns the highest index that the leader may commit. Raft commits only by an entry of the
   * leader's own term. A voter whose readmission is pending does not count towards the majority for
   * the readmission itself and the entries after it.
   *
   * @param commitIndex the current commit index
   * @param term the leader's term
   * @return the new commit index, at least {@code commitIndex}
   */
  long committableIndex(long commitIndex, long term) {
    long[] durable = new long[progress.length];
    for (int i = 0; i < progress.length; i++) {
      durable[i] = i == self ? log.durableIndex() : progress[i].matchIndex();
    }
    boolean withoutMajority = config.injects(InjectedFault.COMMITS_WITHOUT_MAJORITY);
    long highest = withoutMajority ? log.durableIndex() : majorityIndex(durable);
    long readmission = membership.pendingReadmission(commitIndex);
    if (readmission > 0 && highest >= readmission) {
      durable[membership.excludedVoter(commitIndex)] = 0;
      highest = Math.min(highest, Math.max(readmission - 1, majorityIndex(durable)));
    }
    boolean committableTerm =
        log.termAt(highest) == term || config.injects(InjectedFault.COMMITS_EARLIER_TERMS);
    return highest > commitIndex && committableTerm ? highest : commitIndex;
  }

  private long majorityIndex(long[] durable) {
    long[] sorted = durable.clone();
    Arrays.sort(sorted);
    return sorted[sorted.length - voters.quorum()];
  }

  /** Discards the acknowledgements that a voter sent before it restarted. */
  void resetProgress(int voter) {
    if (progress[voter] != null) {
      progress[voter].reset();
    }
  }

  /** Returns the index up to which a voter acknowledged this leader's log; 0 if unknown. */
  long matchIndex(int voter) {
    return progress[voter] == null ? 0 : progress[voter].matchIndex();
  }

  /**
   * Returns whether a voter may be readmitted with its new disk: only one readmission may be
   * pending at a time, an entry of the leader's own term must be committed before it, and the old
   * disk must have been silent for {@link #SILENCE_BEFORE_READMISSION}.
   */
  boolean canReadmit(long now, int voter, long commitIndex, long term) {
    return hasLed
        && membership.pendingReadmission(commitIndex) < 0
        && log.termAt(commitIndex) == term
        && now - progress[voter].heardAt() > SILENCE_BEFORE_READMISSION;
  }
}
