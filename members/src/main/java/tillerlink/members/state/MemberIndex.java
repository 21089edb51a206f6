package tillerlink.members.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import tillerlink.cluster.Invariant;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.MemberStatus;

/** Index of the records of all other members by name, by anti-entropy bucket and by status. */
final class MemberIndex {
  private static final long DEADLINE_UNKNOWN = -1;

  /** Maximum number of random draws per requested member, after which fewer are returned. */
  private static final int PICKS_PER_MEMBER = 4;

  private final NavigableMap<String, MemberRecord> records = new TreeMap<>();

  /** The same records in a hash map, because look-ups by name are frequent; its order is unused. */
  private final Map<String, MemberRecord> byName = new HashMap<>();

  private final List<NavigableSet<String>> buckets = new ArrayList<>();
  private final Map<String, MemberRecord> suspected = new TreeMap<>();
  private final RandomPickSet active = new RandomPickSet();
  private final RandomPickSet failed = new RandomPickSet();

  /** The earliest deadline of a suspicion; computed on demand. */
  private long firstDeadline = DEADLINE_UNKNOWN;

  MemberIndex() {
    for (int i = 0; i < MemberCodec.BUCKETS; i++) {
      buckets.add(new TreeSet<>());
    }
  }

  MemberRecord get(String name) {
    return byName.get(name);
  }

  NavigableMap<String, MemberRecord> records() {
    return Collections.unmodifiableNavigableMap(records);
  }

  NavigableSet<String> bucket(int bucket) {
    return Collections.unmodifiableNavigableSet(buckets.get(bucket));
  }

  int size() {
    return records.size();
  }

  int activeSize() {
    return active.size();
  }

  int inactiveSize() {
    return records.size() - active.size();
  }

  MemberRecord pickActive(RandomGenerator random) {
    return active.pick(random);
  }

  MemberRecord pickFailed(RandomGenerator random) {
    return failed.pick(random);
  }

  List<MemberRecord> pickActive(RandomGenerator random, int max, String excluded) {
    List<MemberRecord> picked = new ArrayList<>();
    int maxPicks = PICKS_PER_MEMBER * max;
    for (int i = 0; picked.size() < max && i < maxPicks && active.size() > 0; i++) {
      MemberRecord member = active.pick(random);
      if (!member.name().equals(excluded) && !picked.contains(member)) {
        picked.add(member);
      }
    }
    return picked;
  }

  List<String> activeNames() {
    List<String> names = new ArrayList<>(active.size());
    for (int i = 0; i < active.size(); i++) {
      names.add(active.get(i).name());
    }
    return names;
  }

  // ---- suspicions ----

  /** Returns the earliest deadline of a suspicion; {@link Long#MAX_VALUE} if there is none. */
  long firstDeadline() {
    if (firstDeadline == DEADLINE_UNKNOWN) {
      firstDeadline = Long.MAX_VALUE;
      for (MemberRecord member : suspected.values()) {
        firstDeadline = Math.min(firstDeadline, member.suspicionTimer().deadline());
      }
    }
    return firstDeadline;
  }

  /** Returns the first member by name whose suspicion has expired; null if there is none. */
  MemberRecord firstExpired(long now) {
    if (firstDeadline() > now) {
      return null;
    }
    for (MemberRecord member : suspected.values()) {
      if (member.suspicionTimer().deadline() <= now) {
        return member;
      }
    }
    return null;
  }

  /**
   * Adds an accuser to a suspicion.
   *
   * @return whether the accuser is new and shortens the suspicion
   */
  boolean confirmSuspicion(MemberRecord member, String accuser) {
    firstDeadline = DEADLINE_UNKNOWN;
    return member.suspicionTimer().confirm(accuser);
  }

  void extendSuspicions(long duration) {
    suspected.values().forEach(member -> member.suspicionTimer().extend(duration));
    firstDeadline = DEADLINE_UNKNOWN;
  }

  // ---- changes ----

  void add(MemberRecord member) {
    records.put(member.name(), member);
    byName.put(member.name(), member);
    buckets.get(MemberCodec.bucket(member.name())).add(member.name());
    addToStatusSets(member);
  }

  void remove(MemberRecord member) {
    records.remove(member.name());
    byName.remove(member.name());
    buckets.get(MemberCodec.bucket(member.name())).remove(member.name());
    removeFromStatusSets(member);
  }

  /** Runs a change of a member's status and moves the member to the sets of the new status. */
  void changeStatus(MemberRecord member, Runnable change) {
    removeFromStatusSets(member);
    change.run();
    addToStatusSets(member);
  }

  private void addToStatusSets(MemberRecord member) {
    if (member.status().takesPart()) {
      active.add(member);
    } else if (member.status() == MemberStatus.GONE) {
      failed.add(member);
    }
    if (member.status() == MemberStatus.SUSPECTED) {
      suspected.put(member.name(), member);
      firstDeadline = DEADLINE_UNKNOWN;
    }
  }

  private void removeFromStatusSets(MemberRecord member) {
    if (active.contains(member)) {
      active.remove(member);
    } else if (failed.contains(member)) {
      failed.remove(member);
    }
    if (suspected.remove(member.name()) != null) {
      firstDeadline = DEADLINE_UNKNOWN;
    }
    Invariant.holds(
        !active.contains(member) && !failed.contains(member),
        () -> member.name() + " is in two status sets");
  }
}
