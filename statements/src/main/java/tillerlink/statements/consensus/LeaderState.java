package tillerlink.statements.consensus;

import java.util.Arrays;
import java.util.function.BiConsumer;
import tillerlink.messages.statements.StatementMessage.Appended;
import tillerlink.statements.testing.InjectedFault;

/**
 * What a leader knows of the other voters, and which entries it may commit by that. Times are in
 * tenths of a millisecond.
 */
final class LeaderState {
  private static final int UNCOMMITTED_MAX = 512;

  /** How long a voter must be silent before its new disk may replace it. */
  private static final long SILENCE_BEFORE_READMISSION = 15_000;

  private final Voters voters;
  private final int self;
  private final RaftConfig config;
  private final Log log;
  private final Membership membership;
  private final Progress[] others;
  private long sequence;
  private long heartbeatDueAt;
  private boolean hasLed;

  LeaderState(Voters voters, int self, RaftConfig config, Log log, Membership membership) {
    this.voters = voters;
    this.self = self;
    this.config = config;
    this.log = log;
    this.membership = membership;
    others = new Progress[voters.count()];
  }

  /** A term as the leader begins. */
  void start(long now) {
    for (int i = 0; i < others.length; i++) {
      others[i] = new Progress(log.lastIndex() + 1, now);
    }
    heartbeatDueAt = now;
    hasLed = true;
  }

  long nextSequence() {
    return ++sequence;
  }

  /** Whether one more entry may be appended while others are not committed yet. */
  boolean hasCapacity(long commitIndex) {
    return log.lastIndex() - commitIndex < UNCOMMITTED_MAX;
  }

  long nextDueAt() {
    return heartbeatDueAt;
  }

  /** The commit index rose: the other voters learn of it at the next replication. */
  void expediteHeartbeat() {
    heartbeatDueAt = Math.min(heartbeatDueAt, 0);
  }

  /** Sends to all voters when a heartbeat is due, else to those that lack entries. */
  void replicate(long now, BiConsumer<String, Progress> send) {
    boolean heartbeat = now >= heartbeatDueAt;
    for (int i = 0; i < others.length; i++) {
      if (i != self && (heartbeat || others[i].needsEntries(log.lastIndex(), now))) {
        send.accept(voters.names().get(i), others[i]);
      }
    }
    if (heartbeat) {
      heartbeatDueAt = now + RaftTiming.HEARTBEAT_INTERVAL;
    }
  }

  void onResponse(long now, int voter, Appended response) {
    others[voter].onResponse(now, response, log.lastIndex());
  }

  /** Whether a majority was silent for so long that there may be another leader. */
  boolean hasLostMajority(long now) {
    int heard = 1;
    for (int i = 0; i < others.length; i++) {
      boolean live = now - others[i].heardAt() < 2 * RaftTiming.ELECTION_TIMEOUT_MIN;
      heard += i != self && live ? 1 : 0;
    }
    return heard < voters.quorum();
  }

  /**
   * The highest index that is committed, at least the given one. Raft commits only by an entry of
   * the leader's own term; a voter whose readmission is pending does not count for entries from
   * there on.
   */
  long committableIndex(long commitIndex, long term) {
    long[] durable = new long[others.length];
    for (int i = 0; i < others.length; i++) {
      durable[i] = i == self ? log.durable() : others[i].matchIndex();
    }
    boolean alone = config.injects(InjectedFault.COMMITS_WITHOUT_MAJORITY);
    long highest = alone ? log.durable() : majorityIndex(durable);
    long readmission = membership.pendingReadmission(commitIndex);
    if (readmission > 0 && highest >= readmission) {
      durable[membership.excludedVoter(commitIndex)] = 0;
      highest = Math.min(highest, Math.max(readmission - 1, majorityIndex(durable)));
    }
    boolean ownTerm =
        log.term(highest) == term || config.injects(InjectedFault.COMMITS_EARLIER_TERMS);
    return highest > commitIndex && ownTerm ? highest : commitIndex;
  }

  private long majorityIndex(long[] durable) {
    long[] sorted = durable.clone();
    Arrays.sort(sorted);
    return sorted[sorted.length - voters.quorum()];
  }

  /** That voter restarted. */
  void resetProgress(int voter) {
    if (others[voter] != null) {
      others[voter].reset();
    }
  }

  /** Up to where that voter acknowledged this leader's log; 0 if nothing is known. */
  long matchIndexOf(int voter) {
    return others[voter] == null ? 0 : others[voter].matchIndex();
  }

  /**
   * Whether the log may readmit a voter by its new disk: one readmission at a time, behind a
   * committed entry of the own term, and not while the old disk is heard of.
   */
  boolean canReadmit(long now, int voter, long commitIndex, long term) {
    return hasLed
        && membership.pendingReadmission(commitIndex) < 0
        && log.term(commitIndex) == term
        && now - others[voter].heardAt() > SILENCE_BEFORE_READMISSION;
  }
}
