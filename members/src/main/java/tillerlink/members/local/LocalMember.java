package tillerlink.members.local;

import tillerlink.cluster.Invariant;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberStatus;

/**
 * The local member and its incarnation. A claim by another member that takes precedence over the
 * local state, or that the local member is not alive, is refuted with a higher incarnation. If
 * another process uses the same name, each process sees the other's incarnation rise. The process
 * with the smaller birth then yields, so that both processes reach the same decision.
 *
 * <p>This class does no I/O and is confined to the gateway's event loop.
 */
public class LocalMember {
  /**
   * Number of times that a rival's incarnation must rise in response to the local one before the
   * rival is considered alive even without a direct answer.
   */
  private static final int MIN_RISES_OF_LIVE_RIVAL = 3;

  /** The action that a claim about the local member's name requires. */
  public enum Reaction {
    /** None, because the claim is true or outdated. */
    NONE,
    /** The incarnation was raised and must be gossiped. */
    REFUTED,
    /** The incarnation was raised, and the other process with the same name must be probed. */
    REFUTED_RIVAL,
    /** This process yielded the name to another process. */
    YIELDED
  }

  private MemberInfo card;
  private boolean yielded;
  private long rivalBirth;
  private long rivalIncarnation;
  private int rivalRises;
  private long refutations;

  /**
   * Creates the local member, one incarnation above that of the previous process.
   *
   * @param persistedIncarnation the highest incarnation of an earlier process with this name; 0 if
   *     it is unknown
   * @param birth the number that distinguishes processes with the same name
   * @param address host:port at which other members reach this one
   * @param site the member's site
   */
  public LocalMember(long persistedIncarnation, long birth, String address, String site) {
    card = new MemberInfo(Math.max(0, persistedIncarnation) + 1, birth, address, site);
  }

  /** Returns the local member's incarnation, birth, address and site. */
  public MemberInfo card() {
    return card;
  }

  /** Returns whether this process yielded the name to another process. */
  public boolean hasYielded() {
    return yielded;
  }

  /** Returns how many times the incarnation was raised. */
  public long refutations() {
    return refutations;
  }

  /**
   * Raises the incarnation above its current value and above another incarnation.
   *
   * @param above the other incarnation to exceed; 0 to exceed only the current value, for example
   *     after a pause
   */
  public void raiseIncarnation(long above) {
    long next = Math.max(above, card.incarnation()) + 1;
    Invariant.holds(next > card.incarnation(), () -> "local incarnation decreases to " + next);
    card = new MemberInfo(next, card.birth(), card.address(), card.site());
    refutations++;
  }

  /**
   * Handles another member's claim about the local member's name.
   *
   * @param status the claimed status
   * @param incarnation the claimed incarnation
   * @param birth the birth of the process that the claim is about
   * @param address the claimed address, host:port; empty if the claim has none
   * @return the action that is required
   */
  public Reaction onClaim(MemberStatus status, long incarnation, long birth, String address) {
    if (birth == card.birth()) {
      if (isTrueOrOutdated(status, incarnation)) {
        return Reaction.NONE;
      }
      raiseIncarnation(incarnation);
      return Reaction.REFUTED;
    }
    MemberInfo other = new MemberInfo(incarnation, birth, "", "");
    if (other.compare(card) < 0) {
      return Reaction.NONE;
    }
    return onRivalClaim(status, incarnation, birth, address);
  }

  private boolean isTrueOrOutdated(MemberStatus status, long incarnation) {
    return incarnation < card.incarnation()
        || (incarnation == card.incarnation() && status == MemberStatus.ALIVE);
  }

  private Reaction onRivalClaim(MemberStatus status, long incarnation, long birth, String address) {
    if (birth != rivalBirth) {
      rivalBirth = birth;
      rivalRises = 0;
    } else if (incarnation > rivalIncarnation) {
      rivalRises++;
    }
    rivalIncarnation = incarnation;
    if (rivalRises >= MIN_RISES_OF_LIVE_RIVAL) {
      return onRivalAlive(birth);
    }
    raiseIncarnation(incarnation);
    // An earlier process of this member is not probed: it had the same address, or it announced
    // that it left.
    boolean mayBeAlive =
        status.takesPart() && !address.isEmpty() && !address.equals(card.address());
    return mayBeAlive ? Reaction.REFUTED_RIVAL : Reaction.REFUTED;
  }

  /**
   * Resolves the conflict with another process that has the same name and is known to be alive. The
   * process with the greater birth keeps the name.
   *
   * @param birth the birth of the other process
   * @return the action that is required
   */
  public Reaction onRivalAlive(long birth) {
    if (birth > card.birth()) {
      yielded = true;
      return Reaction.YIELDED;
    }
    raiseIncarnation(rivalIncarnation);
    return Reaction.REFUTED;
  }
}
