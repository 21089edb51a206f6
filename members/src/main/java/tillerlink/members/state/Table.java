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
import tillerlink.cluster.Reach;
import tillerlink.members.config.Periods;
import tillerlink.messages.members.Card;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.Rumour;
import tillerlink.messages.members.Standing;

/**
 * All others that are known. Bounded: so many that take part, and as many again that are gone or
 * left. Those are kept for longer than any rumour of their life is believed, and only then
 * forgotten.
 */
public class Table {
  /** What became of a rumour. */
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
    void changed(Entry entry, Reach was, Card before);
  }

  private final String self;
  private final Periods periods;
  private final Changes changes;
  private final NavigableMap<String, Entry> entries = new TreeMap<>();

  /** The same, for the many questions after one; nothing goes by its order. */
  private final Map<String, Entry> index = new HashMap<>();

  private final Map<String, Entry> suspected = new TreeMap<>();

  /** When the first suspicion runs out; to be found anew if that is below zero. */
  private long firstDue = -1;

  private final List<NavigableSet<String>> buckets = new ArrayList<>();
  private final Picks talking = new Picks();
  private final Picks gone = new Picks();

  public Table(String self, Periods periods, Changes changes) {
    this.self = self;
    this.periods = periods;
    this.changes = changes;
    for (int i = 0; i < MemberCodec.BUCKETS; i++) {
      buckets.add(new TreeSet<>());
    }
  }

  // ---- who is there ----

  /** Null if it is not known. */
  public Entry get(String name) {
    return index.get(name);
  }

  public NavigableMap<String, Entry> all() {
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

  public Entry anyTalking(RandomGenerator random) {
    return talking.any(random);
  }

  public Entry anyGone(RandomGenerator random) {
    return gone.any(random);
  }

  /** Up to so many of those that take part, none twice, and not that one. */
  public List<Entry> someTalking(RandomGenerator random, int most, String not) {
    List<Entry> some = new ArrayList<>();
    for (int tries = 0; some.size() < most && tries < 4 * most && talking.size() > 0; tries++) {
      Entry any = talking.any(random);
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
  public Outcome tell(Rumour rumour, long now, boolean doubtful) {
    Invariant.holds(!rumour.name().equals(self), () -> "oneself in the table");
    Entry entry = index.get(rumour.name());
    if (entry == null) {
      return unknown(rumour, now, doubtful);
    }
    int order = rumour.card().compare(entry.card());
    if (order < 0) {
      return Outcome.OUTDATED;
    }
    return order > 0 ? above(entry, rumour, now, doubtful) : same(entry, rumour, now, doubtful);
  }

  private Outcome unknown(Rumour rumour, long now, boolean doubtful) {
    long since = now - rumour.age();
    if (!rumour.standing().takesPart()) {
      // Without the bound those long gone would be told from one to the other for ever.
      if (rumour.age() < periods.forgetAfter() && entries.size() < 2 * periods.mostMembers()) {
        add(new Entry(rumour.name(), rumour.card(), rumour.standing(), since, since));
      }
      return Outcome.KNOWN;
    }
    if (rumour.age() > periods.rumourLife() || doubtful) {
      return Outcome.VERIFY;
    }
    if (isFull()) {
      return Outcome.REFUSED;
    }
    Entry entry = new Entry(rumour.name(), rumour.card(), Standing.ALIVE, since, since);
    add(entry);
    changes.changed(entry, Reach.GONE, Card.NONE);
    if (rumour.standing() == Standing.SUSPECTED) {
      become(entry, Standing.SUSPECTED, rumour.card(), suspicion(rumour.by(), now), since);
    }
    return Outcome.NEWS;
  }

  private boolean isFull() {
    return talking.size() >= periods.mostMembers() || entries.size() >= 2 * periods.mostMembers();
  }

  private Outcome above(Entry entry, Rumour rumour, long now, boolean doubtful) {
    boolean comesBack = rumour.standing().takesPart() && !entry.standing().takesPart();
    if (comesBack && talking.size() >= periods.mostMembers()) {
      return Outcome.REFUSED;
    }
    if (comesBack && rumour.age() > periods.rumourLife()
        || doubtful && rumour.standing() != Standing.ALIVE && rumour.standing() != Standing.LEFT) {
      return Outcome.VERIFY;
    }
    Standing next =
        rumour.standing() == Standing.GONE && entry.standing().takesPart()
            ? Standing.SUSPECTED
            : rumour.standing();
    long since = now - rumour.age();
    if (next == Standing.ALIVE) {
      entry.lived(since);
    }
    become(
        entry,
        next,
        rumour.card(),
        next == Standing.SUSPECTED ? suspicion(rumour.by(), now) : null,
        since);
    return Outcome.NEWS;
  }

  private Outcome same(Entry entry, Rumour rumour, long now, boolean doubtful) {
    int order = rumour.standing().compareTo(entry.standing());
    if (order < 0) {
      return Outcome.OUTDATED;
    }
    long since = now - rumour.age();
    return switch (rumour.standing()) {
      case ALIVE -> {
        entry.lived(since);
        yield Outcome.KNOWN;
      }
      case SUSPECTED -> {
        if (doubtful) {
          yield Outcome.VERIFY;
        }
        yield suspect(entry, rumour.by(), now, since) ? Outcome.NEWS : Outcome.KNOWN;
      }
      // Who lives for all that is known here is not given up on hearsay: it is asked, and told what
      // to refute.
      case GONE ->
          order > 0 && (entry.standing() == Standing.ALIVE || doubtful)
              ? Outcome.VERIFY
              : settle(entry, rumour, order, since);
      case LEFT -> settle(entry, rumour, order, since);
    };
  }

  private Outcome settle(Entry entry, Rumour rumour, int order, long since) {
    if (order == 0) {
      return Outcome.KNOWN;
    }
    become(entry, rumour.standing(), rumour.card(), null, since);
    return Outcome.NEWS;
  }

  // ---- what is found out here ----

  /** One accuses it, perhaps the own process; true if that is new. */
  public boolean suspect(Entry entry, String by, long now, long since) {
    if (entry.standing() == Standing.SUSPECTED) {
      firstDue = -1;
      return entry.suspicion().confirm(by);
    }
    if (entry.standing() != Standing.ALIVE) {
      return false;
    }
    become(entry, Standing.SUSPECTED, entry.card(), suspicion(by, now), since);
    return true;
  }

  private Suspicion suspicion(String by, long now) {
    // In a small fleet there are not that many who could confirm it.
    int confirmations = Math.max(0, Math.min(periods.confirmations(), size() - 3));
    return new Suspicion(
        now, by, confirmations, periods.suspicionLeast(size()), periods.suspicionMost(size()));
  }

  /** It answered a question of this process, straight or through another. */
  public void lived(Entry entry, long at) {
    entry.lived(at);
  }

  /** Answered straight. */
  public void straight(Entry entry, long took) {
    Reach was = entry.reach();
    entry.straight(took);
    told(entry, was);
  }

  public void vouched(Entry entry) {
    Reach was = entry.reach();
    entry.vouched();
    told(entry, was);
  }

  private void told(Entry entry, Reach was) {
    if (entry.reach() != was) {
      changes.changed(entry, was, entry.card());
    }
  }

  /** One whose suspicion has run out is given up; null if there is none more. */
  public Entry expire(long now) {
    if (dueAt() > now) {
      return null;
    }
    for (Entry entry : suspected.values()) {
      if (entry.suspicion().deadline() <= now) {
        become(entry, Standing.GONE, entry.card(), null, now);
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
          .forEach(entry -> firstDue = Math.min(firstDue, entry.suspicion().deadline()));
    }
    return firstDue;
  }

  /** No suspicion runs while the own process is away. */
  public void away(long lasted) {
    suspected.values().forEach(entry -> entry.suspicion().later(lasted));
    firstDue = -1;
  }

  /** Forgets those gone or left for so long that no rumour of their life is believed any more. */
  public void forget(long now) {
    if (goneSize() == 0) {
      return;
    }
    List<Entry> old = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (!entry.standing().takesPart() && now - entry.changedAt() > periods.forgetAfter()) {
        old.add(entry);
      }
    }
    old.forEach(this::remove);
  }

  void remove(Entry entry) {
    entries.remove(entry.name());
    index.remove(entry.name());
    buckets.get(MemberCodec.bucket(entry.name())).remove(entry.name());
    unlist(entry);
  }

  // ---- the lists ----

  private void add(Entry entry) {
    entries.put(entry.name(), entry);
    index.put(entry.name(), entry);
    buckets.get(MemberCodec.bucket(entry.name())).add(entry.name());
    list(entry);
    Invariant.holds(
        entries.size() <= 2 * periods.mostMembers(), () -> "members known: " + entries.size());
  }

  private void become(Entry entry, Standing next, Card card, Suspicion suspicion, long at) {
    Reach was = entry.reach();
    Card before = entry.card();
    unlist(entry);
    entry.become(next, card, suspicion, at);
    list(entry);
    Invariant.holds(
        talking.size() <= periods.mostMembers(), () -> "members that take part: " + talking.size());
    if (entry.reach() != was || card.birth() != before.birth()) {
      changes.changed(entry, was, before);
    }
  }

  private void list(Entry entry) {
    if (entry.standing().takesPart()) {
      talking.add(entry);
    } else if (entry.standing() == Standing.GONE) {
      gone.add(entry);
    }
    if (entry.standing() == Standing.SUSPECTED) {
      suspected.put(entry.name(), entry);
      firstDue = -1;
    }
  }

  private void unlist(Entry entry) {
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
