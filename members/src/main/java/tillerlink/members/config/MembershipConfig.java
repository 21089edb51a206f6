package tillerlink.members.config;

/**
 * The intervals, timeouts and limits of the membership protocol. Times are tenths of a millisecond.
 *
 * @param probeInterval the time between the starts of two probes of members
 * @param probeTimeout the minimum time to wait for an answer before the next attempt of a probe
 * @param maxProbeTimeout the maximum time to wait for an answer, however slow the links are
 * @param indirectProbes the number of members requested to probe a member that does not answer
 * @param suspicionMultiplier factor of the minimum suspicion time, which is this value times the
 *     probe interval times the decimal logarithm of the fleet's size
 * @param maxSuspicionMultiplier the ratio of the maximum to the minimum suspicion time
 * @param confirmations the number of further accusers that shorten a suspicion to the minimum time
 * @param gossipInterval the time between two gossip rounds while gossip is queued
 * @param gossipFanout the number of members to which each gossip round is sent
 * @param retransmitMultiplier factor of the number of times that each member sends a gossip update,
 *     which is this value times the binary logarithm of the fleet's size
 * @param reconnectInterval the time between two probes of a failed member or a seed
 * @param antiEntropyInterval the average time between two comparisons with another member
 * @param maxUpdateAge the maximum age at which a gossip update shows that an unknown or failed
 *     member is alive
 * @param forgetAfter the time for which members that failed or left are retained
 * @param maxLocalHealthScore the worst local health score; 0 disables local health
 * @param maxMembers the maximum number of other active members; as many again may have failed or
 *     left
 */
public record MembershipConfig(
    long probeInterval,
    long probeTimeout,
    long maxProbeTimeout,
    int indirectProbes,
    int suspicionMultiplier,
    int maxSuspicionMultiplier,
    int confirmations,
    long gossipInterval,
    int gossipFanout,
    int retransmitMultiplier,
    long reconnectInterval,
    long antiEntropyInterval,
    long maxUpdateAge,
    long forgetAfter,
    int maxLocalHealthScore,
    int maxMembers) {
  private static final long MILLISECOND = 10;
  private static final long SECOND = 1000 * MILLISECOND;
  private static final long HOUR = 3600 * SECOND;
  private static final long MIN_PROBE_INTERVAL = MILLISECOND;

  /**
   * Checks the bounds of every setting.
   *
   * @throws IllegalArgumentException if a setting is out of bounds
   */
  public MembershipConfig {
    require(probeInterval >= MIN_PROBE_INTERVAL);
    require(probeTimeout >= 1);
    require(maxProbeTimeout >= probeTimeout);
    require(indirectProbes >= 0);
    require(suspicionMultiplier >= 1);
    require(maxSuspicionMultiplier >= 1);
    require(confirmations >= 0);
    require(gossipInterval >= 1);
    require(gossipFanout >= 0);
    require(retransmitMultiplier >= 1);
    require(reconnectInterval >= 1);
    require(antiEntropyInterval >= 1);
    require(maxUpdateAge >= 1);
    require(forgetAfter > maxUpdateAge);
    require(maxLocalHealthScore >= 0);
    require(maxMembers >= 1);
  }

  private static void require(boolean withinBounds) {
    if (!withinBounds) {
      throw new IllegalArgumentException("membership setting out of bounds");
    }
  }

  /**
   * Returns the default settings: one probe every half second, for fleets of up to 1,025 members.
   */
  public static MembershipConfig usual() {
    return new MembershipConfig(
        SECOND / 2,
        150 * MILLISECOND,
        2 * SECOND,
        3,
        5,
        6,
        3,
        SECOND / 4,
        2,
        3,
        2 * SECOND,
        10 * SECOND,
        HOUR,
        2 * HOUR,
        8,
        1024);
  }

  /**
   * Returns these settings with another maximum of the local health score; 0 disables local health.
   */
  public MembershipConfig withMaxLocalHealthScore(int maxScore) {
    return copyWith(maxUpdateAge, forgetAfter, maxScore, maxMembers);
  }

  /** Returns these settings with another maximum number of other active members. */
  public MembershipConfig withMaxMembers(int max) {
    return copyWith(maxUpdateAge, forgetAfter, maxLocalHealthScore, max);
  }

  /**
   * Returns these settings with other maximum ages of gossip updates and of inactive members.
   *
   * @param newMaxUpdateAge the new {@link #maxUpdateAge}, in tenths of a millisecond
   * @param newForgetAfter the new {@link #forgetAfter}, in tenths of a millisecond; greater than
   *     {@code newMaxUpdateAge}
   */
  public MembershipConfig withRetention(long newMaxUpdateAge, long newForgetAfter) {
    return copyWith(newMaxUpdateAge, newForgetAfter, maxLocalHealthScore, maxMembers);
  }

  private MembershipConfig copyWith(
      long newMaxUpdateAge, long newForgetAfter, int maxScore, int max) {
    return new MembershipConfig(
        probeInterval,
        probeTimeout,
        maxProbeTimeout,
        indirectProbes,
        suspicionMultiplier,
        maxSuspicionMultiplier,
        confirmations,
        gossipInterval,
        gossipFanout,
        retransmitMultiplier,
        reconnectInterval,
        antiEntropyInterval,
        newMaxUpdateAge,
        newForgetAfter,
        maxScore,
        max);
  }

  /**
   * Returns the minimum time of a suspicion, in tenths of a millisecond.
   *
   * @param size the number of active members, the local one included
   */
  public long minSuspicionTime(int size) {
    return (long)
        (suspicionMultiplier * probeInterval * Math.max(1, Math.log10(Math.max(1, size))));
  }

  /**
   * Returns the maximum time of a suspicion, in tenths of a millisecond.
   *
   * @param size the number of active members, the local one included
   */
  public long maxSuspicionTime(int size) {
    return minSuspicionTime(size) * maxSuspicionMultiplier;
  }

  /**
   * Returns how many times each member sends a gossip update.
   *
   * @param size the number of active members, the local one included
   */
  public int maxTransmissions(int size) {
    return retransmitMultiplier * (Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, size)));
  }
}
