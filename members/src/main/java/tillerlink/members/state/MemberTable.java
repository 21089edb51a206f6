package tillerlink.members.state;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.random.RandomGenerator;
import tillerlink.cluster.Invariant;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipConfig;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberStatus;

/**
 * The table of all other members, with the rules by which gossip updates and the results of probes
 * change it. It is bounded to {@link MembershipConfig#maxMembers()} active members, and as many
 * again that failed or left. Inactive members are retained until any gossip update of their
 * incarnation is too old to be accepted.
 *
 * <p>Times are tenths of a millisecond. This class does no I/O and is confined to the gateway's
 * event loop.
 */
public class MemberTable {
  /** Listener for each change of a member's reachability or process. */
  @FunctionalInterface
  public interface ChangeListener {
    /**
     * Handles a change of a member.
     *
     * @param member the member after the change
     * @param previous its previous reachability; {@link Reachability#GONE} if it was unknown
     * @param previousCard its previous card; {@link MemberInfo#NONE} if it was unknown
     */
    void onChange(MemberRecord member, Reachability previous, MemberInfo previousCard);
  }

  /**
   * Number of members in a suspicion that cannot confirm it: the accuser, the accused member and
   * the local member.
   */
  private static final int NON_CONFIRMING_MEMBERS = 3;

  private final String self;
  private final MembershipConfig config;
  private final ChangeListener listener;
  private final MemberIndex index = new MemberIndex();

  /**
   * Creates an empty table.
   *
   * @param self the local member's name, which is never in the table
   * @param config the limits of the table and the times of suspicions
   * @param listener is notified of changes
   */
  public MemberTable(String self, MembershipConfig config, ChangeListener listener) {
    this.self = self;
    this.config = config;
    this.listener = listener;
  }

  // ---- look-up ----

  /** Returns the record of a member; null if the member is unknown. */
  public MemberRecord get(String name) {
    return index.get(name);
  }

  /** Returns a read-only view of all records by name. */
  public NavigableMap<String, MemberRecord> all() {
    return index.records();
  }

  /**
   * Returns a read-only view of the names in a bucket of the anti-entropy digest, in ascending
   * order.
   */
  public NavigableSet<String> bucket(int bucket) {
    return index.bucket(bucket);
  }

  /** Returns the number of active members, the local one included. */
  public int size() {
    return index.activeSize() + 1;
  }

  /** Returns a random active member; null if there is none. */
  public MemberRecord pickActive(RandomGenerator random) {
    return index.pickActive(random);
  }

  /** Returns a random failed member; null if there is none. */
  public MemberRecord pickFailed(RandomGenerator random) {
    return index.pickFailed(random);
  }

  /**
   * Returns distinct random active members.
   *
   * @param random the source of the draws
   * @param max the maximum number of members; fewer are returned if fewer are active, or if the
   *     draws repeat too often
   * @param excluded the name of a member that is not returned; empty if there is none
   */
  public List<MemberRecord> pickActive(RandomGenerator random, int max, String excluded) {
    return index.pickActive(random, max, excluded);
  }

  /** Returns the names of the active members, in an order that is the same in a repeated run. */
  public List<String> activeNames() {
    return index.activeNames();
  }

  // ---- gossip ----

  /**
   * Merges a gossip update of another member.
   *
   * @param update the update, which must not be of the local member
   * @param now the monotonic time, in tenths of a millisecond
   * @param delayedByPause whether the update may have waited while this process was paused; such an
   *     update is not accepted as an accusation
   * @return the effect of the update
   */
  public MergeOutcome merge(GossipUpdate update, long now, boolean delayedByPause) {
    Invariant.holds(!update.name().equals(self), () -> "local member in the member table");
    MemberRecord member = index.get(update.name());
    if (member == null) {
      return mergeUnknown(update, now, delayedByPause);
    }
    int order = update.card().compare(member.card());
    if (order < 0) {
      return MergeOutcome.OUTDATED;
    }
    return order > 0
        ? mergeHigherIncarnation(member, update, now, delayedByPause)
        : mergeSameIncarnation(member, update, now, delayedByPause);
  }

  private MergeOutcome mergeUnknown(GossipUpdate update, long now, boolean delayedByPause) {
    long since = now - update.age();
    if (!update.status().takesPart()) {
      // Without the limit on its age, the update would circulate forever.
      if (update.age() < config.forgetAfter() && index.size() < maxRecords()) {
        add(new MemberRecord(update.name(), update.card(), update.status(), since, since));
      }
      return MergeOutcome.KNOWN;
    }
    if (update.age() > config.maxUpdateAge() || delayedByPause) {
      return MergeOutcome.NEEDS_PROBE;
    }
    if (isFull()) {
      return MergeOutcome.TABLE_FULL;
    }
    MemberRecord member =
        new MemberRecord(update.name(), update.card(), MemberStatus.ALIVE, since, since);
    add(member);
    listener.onChange(member, Reachability.GONE, MemberInfo.NONE);
    if (update.status() == MemberStatus.SUSPECTED) {
      transition(
          member, MemberStatus.SUSPECTED, update.card(), startTimer(update.accuser(), now), since);
    }
    return MergeOutcome.CHANGED;
  }

  private boolean isFull() {
    return index.activeSize() >= config.maxMembers() || index.size() >= maxRecords();
  }

  private int maxRecords() {
    return 2 * config.maxMembers();
  }

  /** Merges an update whose incarnation is higher than the known one. */
  private MergeOutcome mergeHigherIncarnation(
      MemberRecord member, GossipUpdate update, long now, boolean delayedByPause) {
    boolean rejoins = update.status().takesPart() && !member.status().takesPart();
    if (rejoins && index.activeSize() >= config.maxMembers()) {
      return MergeOutcome.TABLE_FULL;
    }
    boolean tooOld = rejoins && update.age() > config.maxUpdateAge();
    if (tooOld || (delayedByPause && isAccusation(update.status()))) {
      return MergeOutcome.NEEDS_PROBE;
    }
    long since = now - update.age();
    MemberStatus next = nextStatus(member, update);
    if (next == MemberStatus.ALIVE) {
      member.onAlive(since);
    }
    SuspicionTimer timer =
        next == MemberStatus.SUSPECTED ? startTimer(update.accuser(), now) : null;
    transition(member, next, update.card(), timer, since);
    return MergeOutcome.CHANGED;
  }

  /**
   * Returns the status after an update with a higher incarnation. An active member is never
   * declared failed by gossip alone; it is suspected first.
   */
  private static MemberStatus nextStatus(MemberRecord member, GossipUpdate update) {
    boolean suspectFirst = update.status() == MemberStatus.GONE && member.status().takesPart();
    return suspectFirst ? MemberStatus.SUSPECTED : update.status();
  }

  private static boolean isAccusation(MemberStatus status) {
    return status == MemberStatus.SUSPECTED || status == MemberStatus.GONE;
  }

  /**
   * Merges an update whose incarnation is the known one. Of two statuses, the one declared later in
   * {@link MemberStatus} takes precedence.
   */
  private MergeOutcome mergeSameIncarnation(
      MemberRecord member, GossipUpdate update, long now, boolean delayedByPause) {
    int order = update.status().compareTo(member.status());
    if (order < 0) {
      return MergeOutcome.OUTDATED;
    }
    long since = now - update.age();
    return switch (update.status()) {
      case ALIVE -> {
        member.onAlive(since);
        yield MergeOutcome.KNOWN;
      }
      case SUSPECTED -> mergeSuspicion(member, update, now, delayedByPause);
      case GONE ->
          order > 0 && mustProbeFirst(member, delayedByPause)
              ? MergeOutcome.NEEDS_PROBE
              : mergeFailedOrLeft(member, update, order, since);
      case LEFT -> mergeFailedOrLeft(member, update, order, since);
    };
  }

  /**
   * Returns whether a member must be probed before it is declared failed. A member that is
   * considered alive here is never declared failed by gossip alone; the probe informs it of the
   * suspicion that it has to refute.
   */
  private static boolean mustProbeFirst(MemberRecord member, boolean delayedByPause) {
    return member.status() == MemberStatus.ALIVE || delayedByPause;
  }

  private MergeOutcome mergeSuspicion(
      MemberRecord member, GossipUpdate update, long now, boolean delayedByPause) {
    if (delayedByPause) {
      return MergeOutcome.NEEDS_PROBE;
    }
    return suspect(member, update.accuser(), now, now - update.age())
        ? MergeOutcome.CHANGED
        : MergeOutcome.KNOWN;
  }

  private MergeOutcome mergeFailedOrLeft(
      MemberRecord member, GossipUpdate update, int order, long since) {
    if (order == 0) {
      return MergeOutcome.KNOWN;
    }
    transition(member, update.status(), update.card(), null, since);
    return MergeOutcome.CHANGED;
  }

  // ---- suspicion ----

  /**
   * Suspects a member, or adds an accuser to an existing suspicion.
   *
   * @param member the suspected member
   * @param accuser the name of the accusing member, which may be the local one
   * @param now the monotonic time, in tenths of a millisecond
   * @param since when the suspicion began at the accuser, in tenths of a millisecond
   * @return whether the suspicion or its accuser is new and must be gossiped
   */
  public boolean suspect(MemberRecord member, String accuser, long now, long since) {
    if (member.status() == MemberStatus.SUSPECTED) {
      return index.confirmSuspicion(member, accuser);
    }
    if (member.status() != MemberStatus.ALIVE) {
      return false;
    }
    transition(member, MemberStatus.SUSPECTED, member.card(), startTimer(accuser, now), since);
    return true;
  }

  private SuspicionTimer startTimer(String accuser, long now) {
    // In a small fleet, fewer members can confirm the suspicion.
    int confirmations =
        Math.max(0, Math.min(config.confirmations(), size() - NON_CONFIRMING_MEMBERS));
    return new SuspicionTimer(
        now,
        accuser,
        confirmations,
        config.minSuspicionTime(size()),
        config.maxSuspicionTime(size()));
  }

  /**
   * Declares one member failed whose suspicion has expired.
   *
   * @param now the monotonic time, in tenths of a millisecond
   * @return the record of that member; null if no suspicion has expired
   */
  public MemberRecord expire(long now) {
    MemberRecord member = index.firstExpired(now);
    if (member != null) {
      transition(member, MemberStatus.GONE, member.card(), null, now);
    }
    return member;
  }

  /**
   * Returns when the first suspicion expires, in tenths of a millisecond; {@link Long#MAX_VALUE} if
   * there is none.
   */
  public long nextDueAt() {
    return index.firstDeadline();
  }

  /** Extends all suspicions by the length of a pause of this process. */
  public void onPause(long duration) {
    index.extendSuspicions(duration);
  }

  // ---- results of probes ----

  /**
   * Records that a member answered a probe, directly or through others, and was alive at a time.
   */
  public void onAlive(MemberRecord member, long at) {
    member.onAlive(at);
  }

  /** Records that a member answered a probe directly, after the given round-trip time. */
  public void onDirectAck(MemberRecord member, long roundTrip) {
    Reachability previous = member.reachability();
    member.onDirectAck(roundTrip);
    notifyIfChanged(member, previous);
  }

  /** Records that a member answered a probe only through other members. */
  public void onIndirectAck(MemberRecord member) {
    Reachability previous = member.reachability();
    member.onIndirectAck();
    notifyIfChanged(member, previous);
  }

  private void notifyIfChanged(MemberRecord member, Reachability previous) {
    if (member.reachability() != previous) {
      listener.onChange(member, previous, member.card());
    }
  }

  // ---- changes ----

  /**
   * Removes the members that failed or left so long ago that any gossip update of their incarnation
   * is too old to be accepted.
   *
   * @param now the monotonic time, in tenths of a millisecond
   */
  public void forget(long now) {
    if (index.inactiveSize() == 0) {
      return;
    }
    List<MemberRecord> removable = new ArrayList<>();
    for (MemberRecord member : index.records().values()) {
      if (!member.status().takesPart() && now - member.changedAt() > config.forgetAfter()) {
        removable.add(member);
      }
    }
    removable.forEach(this::remove);
  }

  void remove(MemberRecord member) {
    index.remove(member);
  }

  private void add(MemberRecord member) {
    index.add(member);
    Invariant.holds(
        index.size() <= maxRecords(),
        () -> "member records: " + index.size() + " exceed " + maxRecords());
  }

  private void transition(
      MemberRecord member, MemberStatus next, MemberInfo card, SuspicionTimer timer, long at) {
    Reachability previous = member.reachability();
    MemberInfo previousCard = member.card();
    index.changeStatus(member, () -> member.transitionTo(next, card, timer, at));
    Invariant.holds(
        index.activeSize() <= config.maxMembers(),
        () -> "active members: " + index.activeSize() + " exceed " + config.maxMembers());
    if (member.reachability() != previous || card.birth() != previousCard.birth()) {
      listener.onChange(member, previous, previousCard);
    }
  }
}
