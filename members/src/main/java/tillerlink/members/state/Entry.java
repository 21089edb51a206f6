package tillerlink.members.state;

import tillerlink.cluster.Invariant;
import tillerlink.cluster.Reach;
import tillerlink.messages.members.Card;
import tillerlink.messages.members.Doubt;
import tillerlink.messages.members.Rumour;
import tillerlink.messages.members.Standing;

/** One other member, as this process knows it. Only {@link Table} changes what is told on. */
public final class Entry {
  /**
   * Straight tries in a row that only others could make good, until it counts as reached through
   * them.
   */
  private static final int MISSES_TO_THROUGH = 3;

  private final String name;
  private Card card;
  private Standing standing;
  private long lifeAt;
  private long changedAt;
  private Suspicion suspicion;
  private int misses;
  private boolean through;
  private long roundTrip;

  /** Where it stands among those that take part, or among those gone; for picking one by chance. */
  int place = -1;

  Entry(String name, Card card, Standing standing, long lifeAt, long changedAt) {
    this.name = name;
    this.card = card;
    this.standing = standing;
    this.lifeAt = lifeAt;
    this.changedAt = changedAt;
  }

  public String name() {
    return name;
  }

  public Card card() {
    return card;
  }

  public Standing standing() {
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

  public Reach reach() {
    return switch (standing) {
      case ALIVE -> through ? Reach.THROUGH_OTHERS : Reach.REACHABLE;
      case SUSPECTED -> Reach.SUSPECTED;
      case GONE -> Reach.GONE;
      case LEFT -> Reach.LEFT;
    };
  }

  /** What it may have to refute. */
  public Doubt doubt() {
    return standing == Standing.ALIVE
        ? Doubt.NONE
        : new Doubt(standing, card.incarnation(), card.birth());
  }

  public boolean accusedBy(String who) {
    return suspicion != null && suspicion.accusedBy(who);
  }

  public Rumour rumour(String by, long now) {
    long since = standing == Standing.ALIVE ? lifeAt : changedAt;
    return new Rumour(name, standing, card, by, Math.max(0, now - since));
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

  Suspicion suspicion() {
    return suspicion;
  }

  void become(Standing next, Card of, Suspicion suspected, long at) {
    Invariant.holds(of.compare(card) >= 0, () -> name + " falls from " + card + " to " + of);
    Invariant.holds(
        standing.takesPart() || !next.takesPart() || of.compare(card) > 0,
        () -> name + " came back without a higher incarnation: " + of);
    Invariant.holds(
        next == Standing.SUSPECTED == (suspected != null), () -> name + " in two states");
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
