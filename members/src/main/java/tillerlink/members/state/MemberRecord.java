package tillerlink.members.state;

import tillerlink.cluster.Invariant;
import tillerlink.cluster.Reachability;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberStatus;
import tillerlink.messages.members.SuspicionLevel;

/**
 * The local member's record of one other member. Only {@link MemberTable} changes the gossiped
 * state. Times are tenths of a millisecond. This class is confined to the gateway's event loop.
 */
public final class MemberRecord {
  /**
   * Number of consecutive direct probes that a member must miss, while others reach it, before it
   * counts as reachable only through others.
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

  /** The index in the {@link RandomPickSet} that contains this record; negative if none does. */
  int pickIndex = -1;

  MemberRecord(
      String name, MemberInfo card, MemberStatus status, long lastAliveAt, long changedAt) {
    this.name = name;
    this.card = card;
    this.status = status;
    this.lastAliveAt = lastAliveAt;
    this.changedAt = changedAt;
  }

  /** Returns the member's name. */
  public String name() {
    return name;
  }

  /** Returns the last known incarnation, birth, address and site of the member. */
  public MemberInfo card() {
    return card;
  }

  /** Returns the status that is gossiped. */
  public MemberStatus status() {
    return status;
  }

  /**
   * Returns when the status changed at the member of the fleet that first noticed it, in tenths of
   * a millisecond.
   */
  public long changedAt() {
    return changedAt;
  }

  /** Returns how the local member can reach this member. */
  public Reachability reachability() {
    return switch (status) {
      case ALIVE -> indirectOnly ? Reachability.THROUGH_OTHERS : Reachability.REACHABLE;
      case SUSPECTED -> Reachability.SUSPECTED;
      case GONE -> Reachability.GONE;
      case LEFT -> Reachability.LEFT;
    };
  }

  /** Returns the suspicion that the member has to refute; none if it is considered alive. */
  public SuspicionLevel suspicion() {
    return status == MemberStatus.ALIVE
        ? SuspicionLevel.NONE
        : new SuspicionLevel(status, card.incarnation(), card.birth());
  }

  /**
   * Returns the record as a gossip update.
   *
   * @param accuser the member that suspects it or declared it failed; empty if there is none
   * @param now the monotonic time, in tenths of a millisecond
   */
  public GossipUpdate toGossipUpdate(String accuser, long now) {
    long since = status == MemberStatus.ALIVE ? lastAliveAt : changedAt;
    return new GossipUpdate(name, status, card, accuser, Math.max(0, now - since));
  }

  // ---- answers to the local member's probes ----

  /**
   * Returns the smoothed round-trip time of direct probes, in tenths of a millisecond; 0 if none
   * was answered.
   */
  public long roundTrip() {
    return roundTrip;
  }

  /** Returns the number of consecutive direct probes that were answered only through others. */
  public int directMisses() {
    return directMisses;
  }

  /**
   * Records the answer to a direct probe.
   *
   * @param measuredRoundTrip its round-trip time, in tenths of a millisecond
   */
  void onDirectAck(long measuredRoundTrip) {
    // The estimate follows an increase quickly and a decrease slowly.
    roundTrip =
        measuredRoundTrip > roundTrip
            ? (roundTrip + measuredRoundTrip + 1) / 2
            : (7 * roundTrip + measuredRoundTrip) / 8;
    directMisses = 0;
    indirectOnly = false;
  }

  /** Records that other members reached this member and the local member did not. */
  void onIndirectAck() {
    directMisses = Math.min(directMisses + 1, MISSES_UNTIL_INDIRECT);
    indirectOnly = directMisses >= MISSES_UNTIL_INDIRECT;
  }

  /** Records that the member was alive at a time, in tenths of a millisecond. */
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
   * @param next the new status
   * @param nextCard the new card
   * @param timer the timer of the suspicion; null unless the new status is {@code SUSPECTED}
   * @param at when the status changed, in tenths of a millisecond
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
