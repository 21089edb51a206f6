package tillerlink.members.local;

import tillerlink.cluster.Invariant;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberStatus;

/**
 * The local member's own incarnation. Whatever others claim of its name that takes precedence over
 * it, or says that it is not alive, is refuted by a higher incarnation. If another process has the
 * same name, each sees the other's incarnation rise; the process with the smaller birth yields, the
 * same one on both sides.
 *
 * <p>No I/O; owned by the gateway's event loop.
 */
public class LocalMember {
  /**
   * How often a rival's incarnation has to rise after the local one until that proves, without its
   * direct answer, that it is alive.
   */
  private static final int RISES_THAT_PROVE_RIVAL = 3;

  /** What has to be done about a claim of the local member's name. */
  public enum Reaction {
    /** Nothing: it is true, or outdated. */
    NONE,
    /** The incarnation rose: it has to be gossiped. */
    REFUTED,
    /** The incarnation rose, and whoever has the same name has to be probed. */
    REFUTED_RIVAL,
    /** Another process keeps the name. */
    YIELDED
  }

  private MemberInfo card;
  private boolean yielded;
  private long rivalBirth;
  private long rivalIncarnation;
  private int rivalRises;
  private long refutations;

  /**
   * Starts one incarnation above the previous process.
   *
   * @param persistedIncarnation the highest incarnation of an earlier process of this name; 0 if it
   *     is not known
   * @param birth the number that tells processes of one name apart
   */
  public LocalMember(long persistedIncarnation, long birth, String address, String site) {
    card = new MemberInfo(Math.max(0, persistedIncarnation) + 1, birth, address, site);
  }

  /** The local member's incarnation, birth, address and site. */
  public MemberInfo card() {
    return card;
  }

  /** Whether another process keeps the name. */
  public boolean hasYielded() {
    return yielded;
  }

  /** How often the incarnation rose. */
  public long refutations() {
    return refutations;
  }

  /**
   * Raises the incarnation above the present one, and above another one.
   *
   * @param above 0 for the present one only, as after a pause
   */
  public void raiseIncarnation(long above) {
    long next = Math.max(above, card.incarnation()) + 1;
    Invariant.holds(next > card.incarnation(), () -> "local incarnation decreases to " + next);
    card = new MemberInfo(next, card.birth(), card.address(), card.site());
    refutations++;
  }

  /** Handles what others claim of the local member's name. */
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
    if (rivalRises >= RISES_THAT_PROVE_RIVAL) {
      return onRivalAlive(birth);
    }
    raiseIncarnation(incarnation);
    // An earlier process of this member had the same address, or has announced that it leaves.
    boolean mayBeAlive =
        status.takesPart() && !address.isEmpty() && !address.equals(card.address());
    return mayBeAlive ? Reaction.REFUTED_RIVAL : Reaction.REFUTED;
  }

  /** Another process of the same name is surely alive: the one with the greater birth keeps it. */
  public Reaction onRivalAlive(long birth) {
    if (birth > card.birth()) {
      yielded = true;
      return Reaction.YIELDED;
    }
    raiseIncarnation(rivalIncarnation);
    return Reaction.REFUTED;
  }
}
