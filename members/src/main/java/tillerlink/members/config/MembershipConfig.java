package tillerlink.members.config;

/**
 * All times and bounds of membership. Times are tenths of a millisecond.
 *
 * @param period between two probes
 * @param answerWithin wait for an answer before the next step is tried, at the least
 * @param waitMost the same, at the most, however slow the links
 * @param relays others asked to try a member that does not answer
 * @param suspicionFactor the shortest suspicion, in periods, is this times the logarithm of the
 *     fleet's size
 * @param suspicionSpread the longest suspicion is that many times the shortest
 * @param confirmations that many more accusers make it the shortest
 * @param gossipEvery between two rounds of news, while there is any
 * @param gossipTo members that a round goes to
 * @param updateFactor a gossip update is sent this times the binary logarithm of the fleet's size
 * @param retryEvery between two tries of somebody who is gone, or of a seed
 * @param digestEvery between two comparisons with somebody of all that is known
 * @param updateLife one who is not known is not believed to live by a gossip update older than that
 * @param forgetAfter those gone or left are forgotten after that
 * @param healthMost local health goes from 0 to that; 0 switches it off
 * @param mostMembers others that take part at once; as many again may be gone or left
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
  private static final long SECOND = 10_000;

  public MembershipConfig {
    if (probeInterval < 10
        || probeTimeout < 1
        || maxProbeTimeout < probeTimeout
        || indirectProbes < 0
        || suspicionMultiplier < 1
        || maxSuspicionMultiplier < 1
        || confirmations < 0
        || gossipInterval < 1
        || gossipFanout < 0
        || retransmitMultiplier < 1
        || reconnectInterval < 1
        || antiEntropyInterval < 1
        || maxUpdateAge < 1
        || forgetAfter <= maxUpdateAge
        || maxLocalHealthScore < 0
        || maxMembers < 1) {
      throw new IllegalArgumentException("periods that can't be");
    }
  }

  public static MembershipConfig usual() {
    return new MembershipConfig(
        SECOND / 2,
        1500,
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
        3600 * SECOND,
        2 * 3600 * SECOND,
        8,
        1024);
  }

  public MembershipConfig withMaxLocalHealthScore(int most) {
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
        maxUpdateAge,
        forgetAfter,
        most,
        maxMembers);
  }

  public MembershipConfig withMaxMembers(int most) {
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
        maxUpdateAge,
        forgetAfter,
        maxLocalHealthScore,
        most);
  }

  /** How long gossip updates and those gone are remembered. */
  public MembershipConfig withRetention(long life, long forget) {
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
        life,
        forget,
        maxLocalHealthScore,
        maxMembers);
  }

  /** The shortest suspicion in a fleet of that size, oneself counted. */
  public long minSuspicionTime(int size) {
    return (long)
        (suspicionMultiplier * probeInterval * Math.max(1, Math.log10(Math.max(1, size))));
  }

  public long maxSuspicionTime(int size) {
    return minSuspicionTime(size) * maxSuspicionMultiplier;
  }

  /** How often a gossip update is sent by each who has it. */
  public int maxTransmissions(int size) {
    return retransmitMultiplier * (32 - Integer.numberOfLeadingZeros(Math.max(1, size)));
  }
}
