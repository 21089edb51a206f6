package tillerlink.members.state;

import java.util.Set;
import java.util.TreeSet;
import tillerlink.cluster.Invariant;

/**
 * The timer after which a suspected member is declared failed. The timeout is longest while only
 * one member accuses it, and falls logarithmically to the minimum as independent accusers confirm
 * the suspicion (Lifeguard's local health aware suspicion). Times are tenths of a millisecond.
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

  /**
   * Adds an accuser.
   *
   * @return whether the accuser is new and shortens the timeout
   */
  boolean confirm(String accuser) {
    boolean isNew = accusers.size() <= expectedConfirmations && accusers.add(accuser);
    timeout = computeTimeout();
    return isNew;
  }

  /** Returns when the member is declared failed, in tenths of a millisecond. */
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

  /**
   * Extends the suspicion by a pause of this process, because it could receive no refutation during
   * the pause.
   *
   * @param duration the length of the pause, in tenths of a millisecond
   */
  void extend(long duration) {
    startedAt += duration;
  }
}
