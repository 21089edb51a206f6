package tillerlink.members.state;

import tillerlink.cluster.Invariant;
import tillerlink.cluster.Reachability;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberStatus;
import tillerlink.messages.members.SuspicionLevel;

/** One other member, as this process knows it. Only {@link MemberTable} changes what is told on. */
public final class MemberRecord {
  /**
   * Straight tries in a row that only others could make good, until it counts as reached through
   * them.
   */
  private static final int MISSES_TO_THROUGH = 3;

  private final String name;
  private MemberInfo card;
  private MemberStatus standing;
  private long lifeAt;
  private long changedAt;
  private SuspicionTimer suspicion;
  private int misses;
  private boolean through;
  private long roundTrip;

  /** Where it stands among those that take part, or among those gone; for picking one by chance. */
  int place = -1;

  MemberRecord(String name, MemberInfo card, MemberStatus standing, long lifeAt, long changedAt) {
    this.name = name;
    this.card = card;
    this.standing = standing;
    this.lifeAt = lifeAt;
    this.changedAt = changedAt;
  }

  public String name() {
    return name;
  }

  public MemberInfo card() {
    return card;
  }

  public MemberStatus status() {
    return standing;
  }

  /** When it surely lived. */
  public long lifeAt() {
    return lifeAt;
  }

  /** When it came to stand as it does, anywhere. */
  public long changedAt() {
    return changedAt;
  }

  public Reachability reach() {
    return switch (standing) {
      case ALIVE -> through ? Reachability.THROUGH_OTHERS : Reachability.REACHABLE;
      case SUSPECTED -> Reachability.SUSPECTED;
      case GONE -> Reachability.GONE;
      case LEFT -> Reachability.LEFT;
    };
  }

  /** What it may have to refute. */
  public SuspicionLevel suspicion() {
    return standing == MemberStatus.ALIVE
        ? SuspicionLevel.NONE
        : new SuspicionLevel(standing, card.incarnation(), card.birth());
  }

  public boolean accusedBy(String who) {
    return suspicion != null && suspicion.accusedBy(who);
  }

  public GossipUpdate update(String by, long now) {
    long since = standing == MemberStatus.ALIVE ? lifeAt : changedAt;
    return new GossipUpdate(name, standing, card, by, Math.max(0, now - since));
  }

  // ---- how it answers this process itself ----

  /** Smoothed; 0 if it never answered. */
  public long roundTrip() {
    return roundTrip;
  }

  public int misses() {
    return misses;
  }

  /** It answered straight. */
  public void straight(long tookIt) {
    roundTrip = tookIt > roundTrip ? (roundTrip + tookIt + 1) / 2 : (7 * roundTrip + tookIt) / 8;
    misses = 0;
    through = false;
  }

  /** Others reached it, this process did not. */
  public void vouched() {
    misses = Math.min(misses + 1, MISSES_TO_THROUGH);
    through = misses >= MISSES_TO_THROUGH;
  }

  void lived(long at) {
    lifeAt = Math.max(lifeAt, at);
  }

  // ---- what is told on ----

  SuspicionTimer suspicionTimer() {
    return suspicion;
  }

  void become(MemberStatus next, MemberInfo of, SuspicionTimer suspected, long at) {
    Invariant.holds(of.compare(card) >= 0, () -> name + " falls from " + card + " to " + of);
    Invariant.holds(
        standing.takesPart() || !next.takesPart() || of.compare(card) > 0,
        () -> name + " came back without a higher incarnation: " + of);
    Invariant.holds(
        next == MemberStatus.SUSPECTED == (suspected != null), () -> name + " in two states");
    card = of;
    standing = next;
    suspicion = suspected;
    changedAt = at;
    if (!next.takesPart()) {
      misses = 0;
      through = false;
    }
  }
}
