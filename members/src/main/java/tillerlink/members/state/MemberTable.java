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
 * The table of all other members, and the rules by which gossip updates and the results of probes
 * change it. It is bounded: {@link MembershipConfig#maxMembers()} active members, and as many again
 * that failed or left. Those are retained until no gossip update of their incarnation is believed
 * any more.
 *
 * <p>Times are tenths of a millisecond. No I/O; owned by the gateway's event loop.
 */
public class MemberTable {
  /** Is notified of each change of a member's reachability or process. */
  @FunctionalInterface
  public interface ChangeListener {
    /**
     * A member changed.
     *
     * @param member the member as it is now
     * @param previous its reachability before; {@link Reachability#GONE} if it was not known
     * @param previousCard its card before; {@link MemberInfo#NONE} if it was not known
     */
    void onChange(MemberRecord member, Reachability previous, MemberInfo previousCard);
  }

  /** In a fleet of that many there is nobody to confirm a suspicion: accuser, accused, oneself. */
  private static final int MEMBERS_WITHOUT_CONFIRMER = 3;

  private final String self;
  private final MembershipConfig config;
  private final ChangeListener listener;
  private final MemberIndex index = new MemberIndex();

  /**
   * Makes an empty table.
   *
   * @param self the local member's name, which is never in the table
   */
  public MemberTable(String self, MembershipConfig config, ChangeListener listener) {
    this.self = self;
    this.config = config;
    this.listener = listener;
  }

  // ---- look-up ----

  /** The record of a member; null if it is not known. */
  public MemberRecord get(String name) {
    return index.get(name);
  }

  /** All records by name; a read-only view. */
  public NavigableMap<String, MemberRecord> all() {
    return index.records();
  }

  /** The names in a bucket of the anti-entropy digest, in ascending order; a read-only view. */
  public NavigableSet<String> bucket(int bucket) {
    return index.bucket(bucket);
  }

  /** How many members are active, the local one included. */
  public int size() {
    return index.activeSize() + 1;
  }

  /** An active member drawn by chance; null if there is none. */
  public MemberRecord pickActive(RandomGenerator random) {
    return index.pickActive(random);
  }

  /** A failed member drawn by chance; null if there is none. */
  public MemberRecord pickFailed(RandomGenerator random) {
    return index.pickFailed(random);
  }

  /**
   * Distinct active members drawn by chance.
   *
   * @param max at most that many; fewer if there are fewer, or if the draws repeat too often
   * @param excluded the name of a member that is not drawn
   */
  public List<MemberRecord> pickActive(RandomGenerator random, int max, String excluded) {
    return index.pickActive(random, max, excluded);
  }

  /** The names of the active members, in an order that a seeded run repeats. */
  public List<String> activeNames() {
    return index.activeNames();
  }

  // ---- gossip ----

  /**
   * Merges a gossip update of another member.
   *
   * @param delayedByPause whether the update may have waited while this process was paused; such an
   *     update accuses nobody
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
        ? mergeHigher(member, update, now, delayedByPause)
        : mergeSame(member, update, now, delayedByPause);
  }

  private MergeOutcome mergeUnknown(GossipUpdate update, long now, boolean delayedByPause) {
    long since = now - update.age();
    if (!update.status().takesPart()) {
      // Without the bound on its age the update would circulate for ever.
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

  /** Merges an update of a higher incarnation than the known one. */
  private MergeOutcome mergeHigher(
      MemberRecord member, GossipUpdate update, long now, boolean delayedByPause) {
    boolean returns = update.status().takesPart() && !member.status().takesPart();
    if (returns && index.activeSize() >= config.maxMembers()) {
      return MergeOutcome.TABLE_FULL;
    }
    boolean tooOld = returns && update.age() > config.maxUpdateAge();
    if (tooOld || (delayedByPause && isAccusation(update.status()))) {
      return MergeOutcome.NEEDS_PROBE;
    }
    long since = now - update.age();
    MemberStatus next = statusAfter(member, update);
    if (next == MemberStatus.ALIVE) {
      member.onAlive(since);
    }
    SuspicionTimer timer =
        next == MemberStatus.SUSPECTED ? startTimer(update.accuser(), now) : null;
    transition(member, next, update.card(), timer, since);
    return MergeOutcome.CHANGED;
  }

  /** An active member is never declared failed by gossip alone: it is suspected first. */
  private static MemberStatus statusAfter(MemberRecord member, GossipUpdate update) {
    boolean suspectFirst = update.status() == MemberStatus.GONE && member.status().takesPart();
    return suspectFirst ? MemberStatus.SUSPECTED : update.status();
  }

  private static boolean isAccusation(MemberStatus status) {
    return status == MemberStatus.SUSPECTED || status == MemberStatus.GONE;
  }

  /** Merges an update of the known incarnation: the later status takes precedence. */
  private MergeOutcome mergeSame(
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
              : mergeFinal(member, update, order, since);
      case LEFT -> mergeFinal(member, update, order, since);
    };
  }

  /**
   * A member that is alive as far as is known here is not declared failed by gossip alone: it is
   * probed, and learns what it has to refute.
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

  private MergeOutcome mergeFinal(MemberRecord member, GossipUpdate update, int order, long since) {
    if (order == 0) {
      return MergeOutcome.KNOWN;
    }
    transition(member, update.status(), update.card(), null, since);
    return MergeOutcome.CHANGED;
  }

  // ---- suspicion ----

  /**
   * Suspects a member, or adds an accuser to a suspicion.
   *
   * @param accuser the accusing member, perhaps the local one
   * @param since when the suspicion began at the accuser
   * @return whether that is new and to be gossiped
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
    // In a small fleet there are fewer members who could confirm it.
    int confirmations =
        Math.max(0, Math.min(config.confirmations(), size() - MEMBERS_WITHOUT_CONFIRMER));
    return new SuspicionTimer(
        now,
        accuser,
        confirmations,
        config.minSuspicionTime(size()),
        config.maxSuspicionTime(size()));
  }

  /** Declares one member failed whose suspicion has expired; null if there is none. */
  public MemberRecord expire(long now) {
    MemberRecord member = index.firstExpired(now);
    if (member != null) {
      transition(member, MemberStatus.GONE, member.card(), null, now);
    }
    return member;
  }

  /** When the first suspicion expires; {@link Long#MAX_VALUE} if there is none. */
  public long nextDueAt() {
    return index.firstDeadline();
  }

  /** Extends all suspicions by a pause of this process. */
  public void onPause(long duration) {
    index.extendSuspicions(duration);
  }

  // ---- results of probes ----

  /** A member answered a probe of this process, directly or through another. */
  public void onAlive(MemberRecord member, long at) {
    member.onAlive(at);
  }

  /** A member answered directly, after that round trip. */
  public void onDirectAck(MemberRecord member, long roundTrip) {
    Reachability previous = member.reachability();
    member.onDirectAck(roundTrip);
    notifyIfChanged(member, previous);
  }

  /** A member answered only through others. */
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
   * Forgets the members that failed or left so long ago that no gossip update of their incarnation
   * is believed any more.
   */
  public void forget(long now) {
    if (index.inactiveSize() == 0) {
      return;
    }
    List<MemberRecord> old = new ArrayList<>();
    for (MemberRecord member : index.records().values()) {
      if (!member.status().takesPart() && now - member.changedAt() > config.forgetAfter()) {
        old.add(member);
      }
    }
    old.forEach(this::remove);
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
