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
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipConfig;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberStatus;

/**
 * All others that are known. Bounded: so many that take part, and as many again that are gone or
 * left. Those are kept for longer than any gossip update of their life is believed, and only then
 * forgotten.
 */
public class MemberTable {
  /** What became of a gossip update. */
  public enum Outcome {
    /** It changed what is known: to be told on. */
    NEWS,
    /** Nothing new in it. */
    KNOWN,
    /** What is known stands above it. */
    OUTDATED,
    /** Not to be believed without asking the member itself. */
    VERIFY,
    /** There is no room for one more. */
    REFUSED
  }

  /** Is told of each change. */
  @FunctionalInterface
  public interface Changes {
    /**
     * @param before the life it had before; none if it was not known
     */
    void changed(MemberRecord entry, Reachability was, MemberInfo before);
  }

  private final String self;
  private final MembershipConfig periods;
  private final Changes changes;
  private final NavigableMap<String, MemberRecord> entries = new TreeMap<>();

  /** The same, for the many questions after one; nothing goes by its order. */
  private final Map<String, MemberRecord> index = new HashMap<>();

  private final Map<String, MemberRecord> suspected = new TreeMap<>();

  /** When the first suspicion runs out; to be found anew if that is below zero. */
  private long firstDue = -1;

  private final List<NavigableSet<String>> buckets = new ArrayList<>();
  private final RandomPickSet talking = new RandomPickSet();
  private final RandomPickSet gone = new RandomPickSet();

  public MemberTable(String self, MembershipConfig periods, Changes changes) {
    this.self = self;
    this.periods = periods;
    this.changes = changes;
    for (int i = 0; i < MemberCodec.BUCKETS; i++) {
      buckets.add(new TreeSet<>());
    }
  }

  // ---- who is there ----

  /** Null if it is not known. */
  public MemberRecord get(String name) {
    return index.get(name);
  }

  public NavigableMap<String, MemberRecord> all() {
    return Collections.unmodifiableNavigableMap(entries);
  }

  /** The names that fall into a bucket of digests, in their order. */
  public NavigableSet<String> bucket(int bucket) {
    return Collections.unmodifiableNavigableSet(buckets.get(bucket));
  }

  /** Those that take part, oneself counted. */
  public int size() {
    return talking.size() + 1;
  }

  public int goneSize() {
    return entries.size() - talking.size();
  }

  public MemberRecord anyTalking(RandomGenerator random) {
    return talking.any(random);
  }

  public MemberRecord anyGone(RandomGenerator random) {
    return gone.any(random);
  }

  /** Up to so many of those that take part, none twice, and not that one. */
  public List<MemberRecord> someTalking(RandomGenerator random, int most, String not) {
    List<MemberRecord> some = new ArrayList<>();
    for (int tries = 0; some.size() < most && tries < 4 * most && talking.size() > 0; tries++) {
      MemberRecord any = talking.any(random);
      if (!any.name().equals(not) && !some.contains(any)) {
        some.add(any);
      }
    }
    return some;
  }

  public List<String> talkingNames() {
    List<String> names = new ArrayList<>(talking.size());
    for (int i = 0; i < talking.size(); i++) {
      names.add(talking.get(i).name());
    }
    return names;
  }

  public int suspectedSize() {
    return suspected.size();
  }

  // ---- what is told ----

  /**
   * Takes in what is told of another.
   *
   * @param doubtful it waited while this process was away: nobody is accused by it
   */
  public Outcome tell(GossipUpdate update, long now, boolean doubtful) {
    Invariant.holds(!update.name().equals(self), () -> "oneself in the table");
    MemberRecord entry = index.get(update.name());
    if (entry == null) {
      return unknown(update, now, doubtful);
    }
    int order = update.card().compare(entry.card());
    if (order < 0) {
      return Outcome.OUTDATED;
    }
    return order > 0 ? above(entry, update, now, doubtful) : same(entry, update, now, doubtful);
  }

  private Outcome unknown(GossipUpdate update, long now, boolean doubtful) {
    long since = now - update.age();
    if (!update.status().takesPart()) {
      // Without the bound those long gone would be told from one to the other for ever.
      if (update.age() < periods.forgetAfter() && entries.size() < 2 * periods.maxMembers()) {
        add(new MemberRecord(update.name(), update.card(), update.status(), since, since));
      }
      return Outcome.KNOWN;
    }
    if (update.age() > periods.maxUpdateAge() || doubtful) {
      return Outcome.VERIFY;
    }
    if (isFull()) {
      return Outcome.REFUSED;
    }
    MemberRecord entry =
        new MemberRecord(update.name(), update.card(), MemberStatus.ALIVE, since, since);
    add(entry);
    changes.changed(entry, Reachability.GONE, MemberInfo.NONE);
    if (update.status() == MemberStatus.SUSPECTED) {
      become(entry, MemberStatus.SUSPECTED, update.card(), suspicion(update.accuser(), now), since);
    }
    return Outcome.NEWS;
  }

  private boolean isFull() {
    return talking.size() >= periods.maxMembers() || entries.size() >= 2 * periods.maxMembers();
  }

  private Outcome above(MemberRecord entry, GossipUpdate update, long now, boolean doubtful) {
    boolean comesBack = update.status().takesPart() && !entry.status().takesPart();
    if (comesBack && talking.size() >= periods.maxMembers()) {
      return Outcome.REFUSED;
    }
    if (comesBack && update.age() > periods.maxUpdateAge()
        || doubtful
            && update.status() != MemberStatus.ALIVE
            && update.status() != MemberStatus.LEFT) {
      return Outcome.VERIFY;
    }
    MemberStatus next =
        update.status() == MemberStatus.GONE && entry.status().takesPart()
            ? MemberStatus.SUSPECTED
            : update.status();
    long since = now - update.age();
    if (next == MemberStatus.ALIVE) {
      entry.lived(since);
    }
    become(
        entry,
        next,
        update.card(),
        next == MemberStatus.SUSPECTED ? suspicion(update.accuser(), now) : null,
        since);
    return Outcome.NEWS;
  }

  private Outcome same(MemberRecord entry, GossipUpdate update, long now, boolean doubtful) {
    int order = update.status().compareTo(entry.status());
    if (order < 0) {
      return Outcome.OUTDATED;
    }
    long since = now - update.age();
    return switch (update.status()) {
      case ALIVE -> {
        entry.lived(since);
        yield Outcome.KNOWN;
      }
      case SUSPECTED -> {
        if (doubtful) {
          yield Outcome.VERIFY;
        }
        yield suspect(entry, update.accuser(), now, since) ? Outcome.NEWS : Outcome.KNOWN;
      }
      // Who lives for all that is known here is not given up on hearsay: it is asked, and told what
      // to refute.
      case GONE ->
          order > 0 && (entry.status() == MemberStatus.ALIVE || doubtful)
              ? Outcome.VERIFY
              : settle(entry, update, order, since);
      case LEFT -> settle(entry, update, order, since);
    };
  }

  private Outcome settle(MemberRecord entry, GossipUpdate update, int order, long since) {
    if (order == 0) {
      return Outcome.KNOWN;
    }
    become(entry, update.status(), update.card(), null, since);
    return Outcome.NEWS;
  }

  // ---- what is found out here ----

  /** One accuses it, perhaps the own process; true if that is new. */
  public boolean suspect(MemberRecord entry, String by, long now, long since) {
    if (entry.status() == MemberStatus.SUSPECTED) {
      firstDue = -1;
      return entry.suspicionTimer().confirm(by);
    }
    if (entry.status() != MemberStatus.ALIVE) {
      return false;
    }
    become(entry, MemberStatus.SUSPECTED, entry.card(), suspicion(by, now), since);
    return true;
  }

  private SuspicionTimer suspicion(String by, long now) {
    // In a small fleet there are not that many who could confirm it.
    int confirmations = Math.max(0, Math.min(periods.confirmations(), size() - 3));
    return new SuspicionTimer(
        now, by, confirmations, periods.minSuspicionTime(size()), periods.maxSuspicionTime(size()));
  }

  /** It answered a question of this process, straight or through another. */
  public void lived(MemberRecord entry, long at) {
    entry.lived(at);
  }

  /** Answered straight. */
  public void straight(MemberRecord entry, long took) {
    Reachability was = entry.reach();
    entry.straight(took);
    told(entry, was);
  }

  public void vouched(MemberRecord entry) {
    Reachability was = entry.reach();
    entry.vouched();
    told(entry, was);
  }

  private void told(MemberRecord entry, Reachability was) {
    if (entry.reach() != was) {
      changes.changed(entry, was, entry.card());
    }
  }

  /** One whose suspicion has run out is given up; null if there is none more. */
  public MemberRecord expire(long now) {
    if (dueAt() > now) {
      return null;
    }
    for (MemberRecord entry : suspected.values()) {
      if (entry.suspicionTimer().deadline() <= now) {
        become(entry, MemberStatus.GONE, entry.card(), null, now);
        return entry;
      }
    }
    return null;
  }

  /** When the first suspicion runs out. */
  public long dueAt() {
    if (firstDue < 0) {
      firstDue = Long.MAX_VALUE;
      suspected
          .values()
          .forEach(entry -> firstDue = Math.min(firstDue, entry.suspicionTimer().deadline()));
    }
    return firstDue;
  }

  /** No suspicion runs while the own process is away. */
  public void away(long lasted) {
    suspected.values().forEach(entry -> entry.suspicionTimer().later(lasted));
    firstDue = -1;
  }

  /**
   * Forgets those gone or left for so long that no gossip update of their life is believed any
   * more.
   */
  public void forget(long now) {
    if (goneSize() == 0) {
      return;
    }
    List<MemberRecord> old = new ArrayList<>();
    for (MemberRecord entry : entries.values()) {
      if (!entry.status().takesPart() && now - entry.changedAt() > periods.forgetAfter()) {
        old.add(entry);
      }
    }
    old.forEach(this::remove);
  }

  void remove(MemberRecord entry) {
    entries.remove(entry.name());
    index.remove(entry.name());
    buckets.get(MemberCodec.bucket(entry.name())).remove(entry.name());
    unlist(entry);
  }

  // ---- the lists ----

  private void add(MemberRecord entry) {
    entries.put(entry.name(), entry);
    index.put(entry.name(), entry);
    buckets.get(MemberCodec.bucket(entry.name())).add(entry.name());
    list(entry);
    Invariant.holds(
        entries.size() <= 2 * periods.maxMembers(), () -> "members known: " + entries.size());
  }

  private void become(
      MemberRecord entry, MemberStatus next, MemberInfo card, SuspicionTimer suspicion, long at) {
    Reachability was = entry.reach();
    MemberInfo before = entry.card();
    unlist(entry);
    entry.become(next, card, suspicion, at);
    list(entry);
    Invariant.holds(
        talking.size() <= periods.maxMembers(), () -> "members that take part: " + talking.size());
    if (entry.reach() != was || card.birth() != before.birth()) {
      changes.changed(entry, was, before);
    }
  }

  private void list(MemberRecord entry) {
    if (entry.status().takesPart()) {
      talking.add(entry);
    } else if (entry.status() == MemberStatus.GONE) {
      gone.add(entry);
    }
    if (entry.status() == MemberStatus.SUSPECTED) {
      suspected.put(entry.name(), entry);
      firstDue = -1;
    }
  }

  private void unlist(MemberRecord entry) {
    if (talking.has(entry)) {
      talking.remove(entry);
    } else if (gone.has(entry)) {
      gone.remove(entry);
    }
    if (suspected.remove(entry.name()) != null) {
      firstDue = -1;
    }
    Invariant.holds(!talking.has(entry) && !gone.has(entry), () -> entry.name() + " in two lists");
  }
}
