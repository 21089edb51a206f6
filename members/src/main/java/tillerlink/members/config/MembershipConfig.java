package tillerlink.members.config;

/**
 * The intervals, timeouts and bounds of membership. Times are tenths of a millisecond.
 *
 * @param probeInterval between the starts of two probes of members
 * @param probeTimeout shortest wait for an answer before the next attempt of a probe
 * @param maxProbeTimeout longest wait for an answer, however slow the links are
 * @param indirectProbes how many members are requested to probe one that does not answer
 * @param suspicionMultiplier the shortest suspicion is this times the probe interval times the
 *     decimal logarithm of the fleet's size
 * @param maxSuspicionMultiplier the longest suspicion is this times the shortest
 * @param confirmations how many further accusers shorten a suspicion to the shortest
 * @param gossipInterval between two rounds of gossip, while there is any
 * @param gossipFanout how many members a round of gossip goes to
 * @param retransmitMultiplier each member sends a gossip update this times the binary logarithm of
 *     the fleet's size
 * @param reconnectInterval between two probes of a failed member or a seed
 * @param antiEntropyInterval between two comparisons with another member, on average
 * @param maxUpdateAge an older gossip update does not show that an unknown or failed member is
 *     alive
 * @param forgetAfter how long members that failed or left are retained
 * @param maxLocalHealthScore the worst score of local health; 0 switches it off
 * @param maxMembers how many other members may be active; as many again may have failed or left
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

  /** The default settings: a probe each half second, for fleets of up to 1,025 members. */
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

  /** These settings with another bound of the local health score; 0 switches it off. */
  public MembershipConfig withMaxLocalHealthScore(int maxScore) {
    return copyWith(maxUpdateAge, forgetAfter, maxScore, maxMembers);
  }

  /** These settings with another bound of the active members. */
  public MembershipConfig withMaxMembers(int max) {
    return copyWith(maxUpdateAge, forgetAfter, maxLocalHealthScore, max);
  }

  /** These settings with other bounds of the age of gossip updates and of inactive members. */
  public MembershipConfig withRetention(long maxAge, long inactiveTime) {
    return copyWith(maxAge, inactiveTime, maxLocalHealthScore, maxMembers);
  }

  private MembershipConfig copyWith(long maxAge, long inactiveTime, int maxScore, int max) {
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
        maxAge,
        inactiveTime,
        maxScore,
        max);
  }

  /** The shortest suspicion in a fleet of that size, the local member included. */
  public long minSuspicionTime(int size) {
    return (long)
        (suspicionMultiplier * probeInterval * Math.max(1, Math.log10(Math.max(1, size))));
  }

  /** The longest suspicion in a fleet of that size, the local member included. */
  public long maxSuspicionTime(int size) {
    return minSuspicionTime(size) * maxSuspicionMultiplier;
  }

  /** How often each member of a fleet of that size sends a gossip update. */
  public int maxTransmissions(int size) {
    return retransmitMultiplier * (Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, size)));
  }
}
