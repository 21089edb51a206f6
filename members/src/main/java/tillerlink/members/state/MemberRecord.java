package tillerlink.members.state;

import tillerlink.cluster.Invariant;
import tillerlink.cluster.Reachability;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberStatus;
import tillerlink.messages.members.SuspicionLevel;

/**
 * What the local member knows of one other member. Only {@link MemberTable} changes what is
 * gossiped. Times are tenths of a millisecond; owned by the gateway's event loop.
 */
public final class MemberRecord {
  /**
   * A member that misses that many direct probes in a row, while others reach it, counts as
   * reachable only through them.
   */
  private static final int MISSES_UNTIL_INDIRECT = 3;

  private final String name;
  private MemberInfo card;
  private MemberStatus status;
  private long lastAliveAt;
  private long changedAt;
  private SuspicionTimer suspicionTimer;
  private int directMisses;
  private boolean indirectOnly;
  private long roundTrip;

  /** The index in the {@link RandomPickSet} that holds this record; negative if none does. */
  int pickIndex = -1;

  MemberRecord(
      String name, MemberInfo card, MemberStatus status, long lastAliveAt, long changedAt) {
    this.name = name;
    this.card = card;
    this.status = status;
    this.lastAliveAt = lastAliveAt;
    this.changedAt = changedAt;
  }

  /** The member's name. */
  public String name() {
    return name;
  }

  /** The incarnation, address and site under which the member is known. */
  public MemberInfo card() {
    return card;
  }

  /** The status as it is gossiped. */
  public MemberStatus status() {
    return status;
  }

  /** When the status changed, wherever in the fleet that was. */
  public long changedAt() {
    return changedAt;
  }

  /** How the member can be reached from here. */
  public Reachability reachability() {
    return switch (status) {
      case ALIVE -> indirectOnly ? Reachability.THROUGH_OTHERS : Reachability.REACHABLE;
      case SUSPECTED -> Reachability.SUSPECTED;
      case GONE -> Reachability.GONE;
      case LEFT -> Reachability.LEFT;
    };
  }

  /** What the member has to refute; none if it is held alive. */
  public SuspicionLevel suspicion() {
    return status == MemberStatus.ALIVE
        ? SuspicionLevel.NONE
        : new SuspicionLevel(status, card.incarnation(), card.birth());
  }

  /**
   * The record as a gossip update.
   *
   * @param accuser who suspects the member or declared it failed; empty if nobody does
   */
  public GossipUpdate toGossipUpdate(String accuser, long now) {
    long since = status == MemberStatus.ALIVE ? lastAliveAt : changedAt;
    return new GossipUpdate(name, status, card, accuser, Math.max(0, now - since));
  }

  // ---- answers to the local member's probes ----

  /** The smoothed round-trip time of direct probes; 0 if none was answered. */
  public long roundTrip() {
    return roundTrip;
  }

  /** How many direct probes in a row were answered only through others. */
  public int directMisses() {
    return directMisses;
  }

  /** A direct probe was answered. */
  void onDirectAck(long measuredRoundTrip) {
    // Slower answers are believed soon, faster ones only after a while.
    roundTrip =
        measuredRoundTrip > roundTrip
            ? (roundTrip + measuredRoundTrip + 1) / 2
            : (7 * roundTrip + measuredRoundTrip) / 8;
    directMisses = 0;
    indirectOnly = false;
  }

  /** Others reached the member, the local member did not. */
  void onIndirectAck() {
    directMisses = Math.min(directMisses + 1, MISSES_UNTIL_INDIRECT);
    indirectOnly = directMisses >= MISSES_UNTIL_INDIRECT;
  }

  /** The member was surely alive at that moment. */
  void onAlive(long at) {
    lastAliveAt = Math.max(lastAliveAt, at);
  }

  // ---- the gossiped state ----

  SuspicionTimer suspicionTimer() {
    return suspicionTimer;
  }

  /**
   * Changes the gossiped state.
   *
   * @param timer the timer of the suspicion; null if the next status is another
   */
  void transitionTo(MemberStatus next, MemberInfo nextCard, SuspicionTimer timer, long at) {
    Invariant.holds(
        nextCard.compare(card) >= 0,
        () -> name + ": incarnation decreases from " + card + " to " + nextCard);
    Invariant.holds(
        status.takesPart() || !next.takesPart() || nextCard.compare(card) > 0,
        () -> name + " rejoined without a higher incarnation: " + nextCard);
    Invariant.holds(
        next == MemberStatus.SUSPECTED == (timer != null),
        () -> name + ": suspicion timer does not match status " + next);
    card = nextCard;
    status = next;
    suspicionTimer = timer;
    changedAt = at;
    if (!next.takesPart()) {
      directMisses = 0;
      indirectOnly = false;
    }
  }
}
