package tillerlink.members.local;

import tillerlink.cluster.Invariant;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberStatus;

/**
 * This process's own life. Whatever is told of the own name that stands above it, or says that it
 * is not there, is refuted by a higher incarnation. If another process has the name too, both see
 * each other rise; the one whose birth is less yields, the same one on both sides.
 */
public class LocalMember {
  /** Rises of a rival after the own ones that prove, without its direct answer, that it lives. */
  private static final int RISES_PROVE = 3;

  /** What is to be done after something was told of the own name. */
  public enum Answer {
    NOTHING,
    /** The incarnation rose: to be spread. */
    RAISED,
    /** It rose, and whoever has the name too is to be asked whether it lives. */
    RAISED_OVER_RIVAL,
    /** Another process keeps the name. */
    YIELD
  }

  private MemberInfo card;
  private boolean yielded;
  private long rivalBirth;
  private long rivalIncarnation;
  private int rivalRises;
  private long refuted;

  /**
   * @param before the incarnation that an earlier process under this name had at the most; 0 if
   *     that is not known
   */
  public LocalMember(long before, long birth, String address, String site) {
    card = new MemberInfo(Math.max(0, before) + 1, birth, address, site);
  }

  public MemberInfo card() {
    return card;
  }

  public boolean yielded() {
    return yielded;
  }

  /** How often something had to be refuted. */
  public long refuted() {
    return refuted;
  }

  /** One above; also without being asked to, after a pause. */
  public void raise(long above) {
    long next = Math.max(above, card.incarnation()) + 1;
    Invariant.holds(next > card.incarnation(), () -> "the own incarnation falls to " + next);
    card = new MemberInfo(next, card.birth(), card.address(), card.site());
    refuted++;
  }

  /** Something was told of the own name. */
  public Answer told(MemberStatus standing, long incarnation, long birth, String address) {
    if (birth == card.birth()) {
      if (standing == MemberStatus.ALIVE && incarnation <= card.incarnation()
          || incarnation < card.incarnation()) {
        return Answer.NOTHING;
      }
      raise(incarnation);
      return Answer.RAISED;
    }
    MemberInfo other = new MemberInfo(incarnation, birth, "", "");
    if (other.compare(card) < 0) {
      return Answer.NOTHING;
    }
    return rival(standing, incarnation, birth, address);
  }

  private Answer rival(MemberStatus standing, long incarnation, long birth, String address) {
    if (birth != rivalBirth) {
      rivalBirth = birth;
      rivalRises = 0;
    } else if (incarnation > rivalIncarnation) {
      rivalRises++;
    }
    rivalIncarnation = incarnation;
    if (rivalRises >= RISES_PROVE) {
      return lives(birth);
    }
    raise(incarnation);
    // An earlier process of one's own had the same address, or said that it goes.
    return standing.takesPart() && !address.isEmpty() && !address.equals(card.address())
        ? Answer.RAISED_OVER_RIVAL
        : Answer.RAISED;
  }

  /** Another process of the own name surely lives. */
  public Answer lives(long birth) {
    if (birth > card.birth()) {
      yielded = true;
      return Answer.YIELD;
    }
    raise(rivalIncarnation);
    return Answer.RAISED;
  }
}
