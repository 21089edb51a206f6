package tillerlink.members.state;

import java.util.Set;
import java.util.TreeSet;
import tillerlink.cluster.Invariant;

/**
 * How long a member is suspected before it is declared failed: the longest time while one member
 * accuses it alone, falling logarithmically to the shortest as independent accusers confirm the
 * suspicion (Lifeguard's local health aware suspicion). Times are tenths of a millisecond.
 */
final class SuspicionTimer {
  private final Set<String> accusers = new TreeSet<>();
  private final int expectedConfirmations;
  private final long minTimeout;
  private final long maxTimeout;
  private long startedAt;
  private long timeout;

  SuspicionTimer(
      long now, String accuser, int expectedConfirmations, long minTimeout, long maxTimeout) {
    startedAt = now;
    accusers.add(accuser);
    this.expectedConfirmations = expectedConfirmations;
    this.minTimeout = minTimeout;
    this.maxTimeout = maxTimeout;
    timeout = computeTimeout();
  }

  /** Adds an accuser; returns whether it is a new one that still shortens the timeout. */
  boolean confirm(String accuser) {
    boolean isNew = accusers.size() <= expectedConfirmations && accusers.add(accuser);
    timeout = computeTimeout();
    return isNew;
  }

  /** When the member is declared failed. */
  long deadline() {
    return startedAt + timeout;
  }

  private long computeTimeout() {
    double share =
        expectedConfirmations == 0
            ? 1
            : Math.log(accusers.size()) / Math.log(expectedConfirmations + 1);
    long computed = Math.round(maxTimeout - (maxTimeout - minTimeout) * share);
    Invariant.holds(
        computed >= minTimeout && computed <= maxTimeout,
        () -> "suspicion timeout " + computed + " is outside " + minTimeout + " to " + maxTimeout);
    return computed;
  }

  /** Extends the suspicion by a pause of the local process, during which nobody could refute it. */
  void extend(long duration) {
    startedAt += duration;
  }
}
