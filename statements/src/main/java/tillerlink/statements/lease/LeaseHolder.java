package tillerlink.statements.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import tillerlink.cluster.Invariant;
import tillerlink.messages.statements.StatementMessage.AskLease;
import tillerlink.messages.statements.StatementMessage.Lease;
import tillerlink.messages.statements.StatementMessage.Release;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.consensus.Outbox;
import tillerlink.statements.consensus.RaftConfig;
import tillerlink.statements.consensus.Voters;
import tillerlink.statements.testing.InjectedFault;

/**
 * A gateway's side of leases. One is held while a majority of the voters granted it, each from the
 * moment before it was asked, by the own clock alone.
 */
public final class LeaseHolder {
  private static final int ASKS_MOST = 16;

  /** Leases are asked for so long after a group was last wanted. */
  private static final long WANTED = 6_000_000;

  private static final long SOON = 500;
  private static final long GIVE_AGAIN = 1500;

  /** The end of a lease that isn't held; far from where sums would run over. */
  private static final long NONE = Long.MIN_VALUE / 4;

  private record Ask(long sentAt, TreeMap<Integer, Long> groups) {}

  private record Granted(long disk, long from) {}

  /** What is known of one group. */
  private static final class Group {
    final Granted[] grants;
    long version;
    long wantedAt;

    /** Attempts that run under a lease on it and are out. */
    int running;

    /** Up to when an engine may still be at an attempt that is over here; 0 if at none. */
    long doubtUntil;

    boolean held;

    /**
     * Grants were dropped that voters may still count: they are given back when no attempt is out
     * any more.
     */
    boolean owed;

    /** A change asks for it, and an attempt that may be out keeps it from being given back. */
    boolean waits;

    /** When it is given back once more, as word of it may have been lost; and up to when. */
    long giveAgainAt = Long.MAX_VALUE;

    long giveUntil;

    Group(int voters) {
      grants = new Granted[voters];
    }

    /** Whether an attempt that was written under a lease on it may still be at an engine. */
    boolean mayBeOut() {
      return running > 0 || doubtUntil > 0;
    }

    /**
     * @return whether there were any, here or as voters see it
     */
    boolean dropGrants() {
      boolean some = owed;
      for (int i = 0; i < grants.length; i++) {
        some |= grants[i] != null;
        grants[i] = null;
      }
      return some;
    }
  }

  private final LeaseTerms lease;
  private final RaftConfig terms;
  private final Voters voters;
  private final Outbox out;
  private final long holder;
  private final TreeMap<Integer, Group> groups = new TreeMap<>();
  private final LinkedHashMap<Long, Ask> asks = new LinkedHashMap<>();
  private List<Long> members = List.of();
  private long membersVersion = -1;
  private long sequence;
  private long askAt;
  private long heardAt = Long.MIN_VALUE / 2;
  private long losses;
  private long endsNext = Long.MAX_VALUE;

  /** The last attempt ended that kept a lease from being given back. */
  private boolean freed;

  public LeaseHolder(
      LeaseTerms lease, RaftConfig terms, Voters voters, Outbox out, RandomGenerator random) {
    this.lease = lease;
    this.terms = terms;
    this.voters = voters;
    this.out = out;
    holder = random.nextLong() | 1;
  }

  /** The number of this process among those that hold leases. */
  public long holder() {
    return holder;
  }

  /** When a majority of voters last answered, roughly: when the last one did. */
  public long heardAt() {
    return heardAt;
  }

  // ---- what is held ----

  /** A run of that group is at hand or likely. */
  public void want(long now, int group, Catalog catalog) {
    Group it = groups.get(group);
    if (it == null) {
      if (groups.size() >= Catalog.GROUPS_MOST) {
        return;
      }
      it = new Group(voters.count());
      it.version = catalog.version(group);
      groups.put(group, it);
      askAt = Math.min(askAt, now);
    }
    it.wantedAt = now;
  }

  /** Until when a lease on the group at that version is held; in the past if there is none. */
  public long heldUntil(int group, long version) {
    Group it = groups.get(group);
    if (it == null || it.version != version || members.isEmpty()) {
      return NONE;
    }
    long[] from = new long[voters.count()];
    Arrays.fill(from, Long.MIN_VALUE / 2);
    int grants = 0;
    for (int i = 0; i < from.length; i++) {
      Granted granted = it.grants[i];
      if (granted != null && granted.disk == members.get(i)) {
        from[i] = granted.from;
        grants++;
      }
    }
    int needed = voters.quorum() - (terms.injects(InjectedFault.LEASE_WITHOUT_MAJORITY) ? 1 : 0);
    if (grants < needed) {
      return NONE;
    }
    Arrays.sort(from);
    long until = from[from.length - needed] + lease.held();
    Invariant.holds(majority(it, until), () -> "a lease on group " + group + " without a majority");
    return until;
  }

  /** Counted another way than above: a majority of members granted until that moment. */
  private boolean majority(Group it, long until) {
    int count = 0;
    for (int i = 0; i < it.grants.length; i++) {
      Granted granted = it.grants[i];
      count +=
          granted != null && granted.disk == members.get(i) && granted.from + lease.held() >= until
              ? 1
              : 0;
    }
    return count * 2 > voters.count();
  }

  /**
   * An attempt that runs under a lease on the group is written, or ended: leases are given back
   * when none is out.
   */
  public void running(int group, int by) {
    Group it = groups.get(group);
    if (it != null && !terms.injects(InjectedFault.RELEASES_WITH_ATTEMPTS_IN_FLIGHT)) {
      Invariant.holds(
          it.running + by >= 0, () -> "more hops of group " + group + " ended than began");
      it.running = Math.max(0, it.running + by);
      freed |= it.running == 0 && it.waits;
    }
  }

  /**
   * An attempt that runs under a lease on the group is over here, and an engine may still be at it:
   * to be told before it counts as ended. An engine stops at the limit that it was told, by its own
   * clock and from when the attempt came to it; so a whole lease is added, which a change that is
   * announced waits for at the most.
   */
  public void inDoubt(long now, int group, long mayRunUntil) {
    Group it = groups.get(group);
    if (it != null
        && !terms.injects(InjectedFault.RELEASES_WITH_ATTEMPTS_IN_FLIGHT)
        && !terms.injects(InjectedFault.ASSUMES_ATTEMPTS_STOPPED)) {
      it.doubtUntil = Math.max(it.doubtUntil, Math.max(now, mayRunUntil) + lease.kept());
    }
  }

  // ---- asking and giving back ----

  public void turn(long now, Catalog catalog) {
    giveBack(now, catalog);
    countLosses(now);
    if (now < askAt || groups.isEmpty()) {
      return;
    }
    askAt = now + lease.length() / 4;
    TreeMap<Integer, Long> some = new TreeMap<>();
    for (Iterator<Map.Entry<Integer, Group>> each = groups.entrySet().iterator();
        each.hasNext(); ) {
      Map.Entry<Integer, Group> one = each.next();
      if (now - one.getValue().wantedAt > WANTED && !one.getValue().mayBeOut()) {
        each.remove();
      } else if (!catalog.blocked(one.getKey())) {
        some.put(one.getKey(), one.getValue().version);
      }
    }
    if (some.isEmpty()) {
      return;
    }
    asks.put(++sequence, new Ask(now, some));
    if (asks.size() > ASKS_MOST) {
      asks.remove(asks.keySet().iterator().next());
    }
    for (String voter : voters.names()) {
      out.send(voter, new AskLease(holder, sequence, some));
    }
  }

  /** What a change asks for is given back as soon as no attempt that runs under it may be out. */
  private void giveBack(long now, Catalog catalog) {
    freed = false;
    List<Integer> some = new ArrayList<>();
    groups.forEach(
        (group, it) -> {
          it.doubtUntil = it.doubtUntil > now ? it.doubtUntil : 0;
          it.waits = false;
          boolean holds = it.owed || Arrays.stream(it.grants).anyMatch(granted -> granted != null);
          if (it.version != catalog.version(group)) {
            it.version = catalog.version(group);
            it.owed = false;
            it.dropGrants();
            askAt = Math.min(askAt, now);
          } else if (holds && !it.mayBeOut() && catalog.blocked(group)) {
            it.owed = false;
            it.dropGrants();
            some.add(group);
            it.giveAgainAt = now + GIVE_AGAIN;
            it.giveUntil = now + lease.length();
          } else if (holds && catalog.blocked(group)) {
            it.waits = true;
            it.giveAgainAt = Long.MAX_VALUE;
          } else if (now >= it.giveAgainAt) {
            boolean again = !holds && catalog.blocked(group) && now < it.giveUntil;
            it.giveAgainAt = again ? now + GIVE_AGAIN : Long.MAX_VALUE;
            if (again) {
              some.add(group);
            }
          }
        });
    if (!some.isEmpty()) {
      release(some);
    }
  }

  private void countLosses(long now) {
    endsNext = Long.MAX_VALUE;
    groups.forEach(
        (group, it) -> {
          long until = heldUntil(group, it.version) - lease.margin();
          losses += it.held && until <= now ? 1 : 0;
          it.held = until > now;
          endsNext = it.held ? Math.min(endsNext, until) : endsNext;
        });
  }

  /** How often a lease that was held was lost: it ended, was given back or dropped. */
  public long losses() {
    return losses;
  }

  private void release(List<Integer> some) {
    asks.clear();
    for (String voter : voters.names()) {
      out.send(voter, new Release(holder, sequence, some));
    }
  }

  /** Asked soon, since a run was rejected for want of a lease. */
  public void askSoon(long now) {
    askAt = Math.min(askAt, now + SOON);
  }

  public long dueAt() {
    long due =
        groups.isEmpty() ? Long.MAX_VALUE : freed ? Long.MIN_VALUE : Math.min(askAt, endsNext);
    for (Group it : groups.values()) {
      due = Math.min(due, it.giveAgainAt);
      due = it.doubtUntil > 0 ? Math.min(due, it.doubtUntil) : due;
    }
    return due;
  }

  public void granted(long now, String from, Lease answer) {
    int place = voters.names().indexOf(from);
    Ask ask = asks.get(answer.sequence());
    if (answer.holder() != holder
        || ask == null
        || place < 0
        || answer.members().size() != voters.count()) {
      return;
    }
    heardAt = now;
    if (answer.version() > membersVersion) {
      membersVersion = answer.version();
      members = answer.members();
    }
    answer
        .granted()
        .forEach(
            (group, version) -> {
              Group it = groups.get(group);
              if (it != null
                  && it.version == version
                  && ask.groups.getOrDefault(group, -1L) == (long) version) {
                long since =
                    terms.injects(InjectedFault.COUNTS_LEASE_FROM_RESPONSE) ? now : ask.sentAt;
                Granted old = it.grants[place];
                if (old == null || old.disk != answer.disk() || old.from < since) {
                  it.grants[place] = new Granted(answer.disk(), since);
                }
              }
            });
  }

  // ---- what ends them ----

  /**
   * This process did nothing for a while: all leases are dropped, and given back where no attempt
   * may be out.
   */
  public void away(long now) {
    if (terms.injects(InjectedFault.TRUSTS_LEASES_AFTER_PAUSE)) {
      return;
    }
    asks.clear();
    giveBackFree(now);
    askAt = now;
  }

  /**
   * This process ends: nothing is written any more. What an attempt may still be out under runs out
   * by itself.
   */
  public void leave(long now) {
    giveBackFree(now);
  }

  private void giveBackFree(long now) {
    List<Integer> free = new ArrayList<>();
    groups.forEach(
        (group, it) -> {
          it.doubtUntil = it.doubtUntil > now ? it.doubtUntil : 0;
          boolean had = it.dropGrants();
          it.owed = had && it.mayBeOut();
          if (!it.mayBeOut()) {
            free.add(group);
          }
        });
    if (!free.isEmpty()) {
      release(free);
    }
  }

  /** A change took effect: by now no lease under the schemas before it may be alive here. */
  public void tookEffect(long now, List<Integer> changed) {
    for (int group : changed) {
      Group it = groups.get(group);
      Invariant.holds(
          it == null || heldUntil(group, it.version) <= now,
          () -> "a change of group " + group + " took effect while a lease is held here");
    }
  }
}
