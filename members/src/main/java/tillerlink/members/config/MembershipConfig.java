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
    long period,
    long answerWithin,
    long waitMost,
    int relays,
    int suspicionFactor,
    int suspicionSpread,
    int confirmations,
    long gossipEvery,
    int gossipTo,
    int updateFactor,
    long retryEvery,
    long digestEvery,
    long updateLife,
    long forgetAfter,
    int healthMost,
    int mostMembers) {
  private static final long SECOND = 10_000;

  public MembershipConfig {
    if (period < 10
        || answerWithin < 1
        || waitMost < answerWithin
        || relays < 0
        || suspicionFactor < 1
        || suspicionSpread < 1
        || confirmations < 0
        || gossipEvery < 1
        || gossipTo < 0
        || updateFactor < 1
        || retryEvery < 1
        || digestEvery < 1
        || updateLife < 1
        || forgetAfter <= updateLife
        || healthMost < 0
        || mostMembers < 1) {
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

  public MembershipConfig withHealth(int most) {
    return new MembershipConfig(
        period,
        answerWithin,
        waitMost,
        relays,
        suspicionFactor,
        suspicionSpread,
        confirmations,
        gossipEvery,
        gossipTo,
        updateFactor,
        retryEvery,
        digestEvery,
        updateLife,
        forgetAfter,
        most,
        mostMembers);
  }

  public MembershipConfig withMembers(int most) {
    return new MembershipConfig(
        period,
        answerWithin,
        waitMost,
        relays,
        suspicionFactor,
        suspicionSpread,
        confirmations,
        gossipEvery,
        gossipTo,
        updateFactor,
        retryEvery,
        digestEvery,
        updateLife,
        forgetAfter,
        healthMost,
        most);
  }

  /** How long gossip updates and those gone are remembered. */
  public MembershipConfig withMemory(long life, long forget) {
    return new MembershipConfig(
        period,
        answerWithin,
        waitMost,
        relays,
        suspicionFactor,
        suspicionSpread,
        confirmations,
        gossipEvery,
        gossipTo,
        updateFactor,
        retryEvery,
        digestEvery,
        life,
        forget,
        healthMost,
        mostMembers);
  }

  /** The shortest suspicion in a fleet of that size, oneself counted. */
  public long suspicionLeast(int size) {
    return (long) (suspicionFactor * period * Math.max(1, Math.log10(Math.max(1, size))));
  }

  public long suspicionMost(int size) {
    return suspicionLeast(size) * suspicionSpread;
  }

  /** How often a gossip update is sent by each who has it. */
  public int sendsMost(int size) {
    return updateFactor * (32 - Integer.numberOfLeadingZeros(Math.max(1, size)));
  }
}
