package tillerlink.statements.catalog;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import tillerlink.cluster.Invariant;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Command;
import tillerlink.messages.statements.Definition;
import tillerlink.messages.statements.Entry;

/**
 * What is prepared, and the schema version of each table group: a pure function of the log. A
 * generation is the index of the entry that gave a statement its text: a name that is dropped needs
 * no tombstone, and no old text comes back.
 */
public final class Catalog {
  /** Statements at the most. */
  public static final int STATEMENTS_MOST = 1024;

  /**
   * Bytes of all texts and names; a snapshot stays below what one value of the durable table holds.
   */
  public static final int BYTES_MOST = 640 * 1024;

  public static final int GROUPS_MOST = 256;

  /** Announced changes of one group that wait for their effect. */
  public static final int WAITING_MOST = 8;

  /** Processes whose last request is remembered, those that asked last. */
  static final int ORIGINS_MOST = 512;

  /** The schema version of a group of which no change took effect. */
  public static final long FIRST_VERSION = 1;

  /** What the last request of a process came to. */
  record Answered(long number, Outcome outcome) {}

  final TreeMap<String, CatalogEntry> statements = new TreeMap<>();
  final TreeMap<Integer, Long> versions = new TreeMap<>();
  final TreeMap<Long, Change> waiting = new TreeMap<>();

  /** Changes in effect that statements still have to be prepared anew for. */
  final TreeMap<Long, Change> asking = new TreeMap<>();

  final LinkedHashMap<Long, Answered> answered = new LinkedHashMap<>();
  long applied;
  private long bytes;

  // ---- what it says ----

  /** The index of the last entry that is in it. */
  public long applied() {
    return applied;
  }

  public Optional<CatalogEntry> find(String name) {
    return Optional.ofNullable(statements.get(name));
  }

  public SortedMap<String, CatalogEntry> statements() {
    return Collections.unmodifiableSortedMap(statements);
  }

  public SortedMap<Integer, Long> versions() {
    return Collections.unmodifiableSortedMap(versions);
  }

  public long version(int group) {
    return versions.getOrDefault(group, FIRST_VERSION);
  }

  /**
   * Changes that are announced and have neither taken effect nor been taken back, by their numbers.
   */
  public SortedMap<Long, Change> waiting() {
    return Collections.unmodifiableSortedMap(waiting);
  }

  /** Whether a change waits that touches the group. */
  public boolean blocked(int group) {
    return waiting.values().stream().anyMatch(change -> change.groups().contains(group));
  }

  /**
   * Whether an earlier change waits that shares a group with this one: they take effect in the
   * order of the log.
   */
  public boolean isBehindAnother(long change) {
    Change it = waiting.get(change);
    return it == null
        || waiting.headMap(change).values().stream().anyMatch(other -> other.touches(it.groups()));
  }

  /** What a request of a process came to, if it is in the log. */
  public Optional<Outcome> answer(long origin, long number) {
    Answered last = answered.get(origin);
    return last == null || last.number < number
        ? Optional.empty()
        : Optional.of(
            last.number == number ? last.outcome : Outcome.unknown("a later request was answered"));
  }

  // ---- the log ----

  /** Takes the next entry in. */
  public Outcome apply(Entry entry) {
    Invariant.holds(
        entry.index() == applied + 1, () -> "entry " + entry.index() + " comes after " + applied);
    Outcome before =
        entry.origin() == 0 ? null : answer(entry.origin(), entry.number()).orElse(null);
    applied = entry.index();
    if (before != null) {
      return before;
    }
    Outcome outcome = run(entry.index(), entry.command());
    asking
        .keySet()
        .removeIf(
            change ->
                statements.values().stream()
                    .noneMatch(it -> it.state() == State.ANEW && it.change() == change));
    if (entry.origin() != 0) {
      answered.remove(entry.origin());
      answered.put(entry.origin(), new Answered(entry.number(), outcome));
      if (answered.size() > ORIGINS_MOST) {
        answered.remove(answered.keySet().iterator().next());
      }
    }
    return outcome;
  }

  private Outcome run(long index, Command command) {
    if (command instanceof Command.Prepare it) {
      return prepare(index, it);
    } else if (command instanceof Command.Drop it) {
      return drop(it);
    } else if (command instanceof Command.Announce it) {
      return announce(index, it.change());
    } else if (command instanceof Command.TakeBack it) {
      return waiting.remove(it.change()) != null
          ? Outcome.done(it.change())
          : Outcome.refused("the change has taken effect, was taken back or was never announced");
    } else if (command instanceof Command.Effect it) {
      return effect(it.change());
    } else if (command instanceof Command.Anew it) {
      return anew(index, it);
    }
    return Outcome.done(index);
  }

  private Outcome prepare(long index, Command.Prepare it) {
    Definition definition = it.definition();
    CatalogEntry old = statements.get(definition.name());
    for (int group : definition.groups()) {
      if (it.versions().getOrDefault(group, 0L) != version(group)) {
        return Outcome.refused("the schema of group " + group + " is at version " + version(group));
      }
    }
    if (it.over() >= 0 && it.over() != (old == null ? 0 : old.generation())) {
      return Outcome.refused(
          old == null ? "it is not prepared" : "its generation is " + old.generation());
    }
    if (old != null && old.state() == State.READY && old.definition().equals(definition)) {
      return Outcome.done(old.generation());
    }
    if (old == null && statements.size() >= STATEMENTS_MOST) {
      return Outcome.refused("no more than " + STATEMENTS_MOST + " statements");
    }
    if (bytes - size(old) + size(definition) > BYTES_MOST) {
      return Outcome.refused("no more than " + BYTES_MOST + " bytes of statements");
    }
    if (!roomFor(definition.groups())) {
      return Outcome.refused("no more than " + GROUPS_MOST + " table groups");
    }
    put(new CatalogEntry(definition, index, now(definition), State.READY, 0));
    return Outcome.done(index);
  }

  private boolean roomFor(List<Integer> groups) {
    return versions.size() + groups.stream().filter(group -> !versions.containsKey(group)).count()
        <= GROUPS_MOST;
  }

  private SortedMap<Integer, Long> now(Definition definition) {
    TreeMap<Integer, Long> now = new TreeMap<>();
    for (int group : definition.groups()) {
      versions.putIfAbsent(group, FIRST_VERSION);
      now.put(group, version(group));
    }
    return now;
  }

  private Outcome drop(Command.Drop it) {
    CatalogEntry old = statements.get(it.name());
    if (old == null) {
      return Outcome.refused("it is not prepared");
    }
    if (it.over() >= 0 && it.over() != old.generation()) {
      return Outcome.refused("its generation is " + old.generation());
    }
    statements.remove(it.name());
    bytes -= size(old);
    return Outcome.done(old.generation());
  }

  private Outcome announce(long index, Change change) {
    for (int group : change.groups()) {
      if (waiting.values().stream().filter(other -> other.groups().contains(group)).count()
          >= WAITING_MOST) {
        return Outcome.refused(WAITING_MOST + " changes of group " + group + " wait already");
      }
    }
    if (waiting.size() >= GROUPS_MOST || !roomFor(change.groups())) {
      return Outcome.refused("no more than " + GROUPS_MOST + " table groups");
    }
    change.groups().forEach(group -> versions.putIfAbsent(group, FIRST_VERSION));
    waiting.put(index, change);
    return Outcome.done(index);
  }

  private Outcome effect(long id) {
    if (isBehindAnother(id)) {
      return Outcome.refused("it is not its turn");
    }
    Change change = waiting.remove(id);
    change.groups().forEach(group -> versions.merge(group, 1L, Long::sum));
    asking.put(id, change);
    for (CatalogEntry old : new ArrayList<>(statements.values())) {
      if (change.touches(old.definition().groups())) {
        put(after(old, change, id));
      }
    }
    return Outcome.done(id);
  }

  /** What is invalid stays so, and keeps the versions that it was last prepared under. */
  private CatalogEntry after(CatalogEntry old, Change change, long id) {
    State does = ChangeImpact.of(old.definition(), change);
    if (old.state() == State.INVALID || does == State.INVALID) {
      return old.under(
          old.versions(), State.INVALID, old.state() == State.INVALID ? old.change() : id);
    }
    if (old.state() == State.ANEW) {
      // Two changes before it was prepared anew: what the first asked for is not known to be done
      // by the second.
      return old.under(old.versions(), State.INVALID, id);
    }
    return does == State.ANEW
        ? old.under(old.versions(), State.ANEW, id)
        : old.under(now(old.definition()), State.READY, 0);
  }

  private Outcome anew(long index, Command.Anew it) {
    CatalogEntry old = statements.get(it.name());
    if (old == null || old.generation() != it.generation() || old.state() != State.ANEW) {
      return Outcome.refused("it stands no more as it did");
    }
    Definition definition = it.definition();
    boolean can =
        definition != null
            && definition.name().equals(it.name())
            && roomFor(definition.groups())
            && bytes - size(old) + size(definition) <= BYTES_MOST;
    put(
        can
            ? new CatalogEntry(definition, index, now(definition), State.READY, 0)
            : old.under(old.versions(), State.INVALID, old.change()));
    return Outcome.done(index);
  }

  void put(CatalogEntry standing) {
    String name = standing.definition().name();
    CatalogEntry old = statements.put(name, standing);
    bytes += size(standing) - size(old);
    Invariant.holds(
        old == null || old.generation() <= standing.generation(),
        () -> "generation of " + name + " falls");
    Invariant.holds(
        standing.state() != State.READY
            || standing.versions().entrySet().stream()
                .allMatch(entry -> version(entry.getKey()) == entry.getValue()),
        () -> name + " is ready under an old schema");
    Invariant.holds(
        statements.size() <= STATEMENTS_MOST && bytes <= BYTES_MOST,
        () -> "catalog beyond its bounds");
  }

  private static long size(CatalogEntry standing) {
    return standing == null ? 0 : size(standing.definition());
  }

  /** About what it takes up in a snapshot. */
  private static long size(Definition of) {
    return of.name().length() * 3L
        + of.text().length() * 3L
        + of.requestClass().length()
        + of.groups().size() * 16L
        + of.parameters().size() * 4L
        + of.uses().stream().mapToLong(use -> use.length() * 3L + 4).sum()
        + 64;
  }

  /** Statements that wait for being prepared anew, each with the change that asks for it. */
  public Map<CatalogEntry, Change> waitingAnew() {
    LinkedHashMap<CatalogEntry, Change> some = new LinkedHashMap<>();
    if (!asking.isEmpty()) {
      statements.values().stream()
          .filter(it -> it.state() == State.ANEW)
          .forEach(it -> some.put(it, asking.get(it.change())));
    }
    return some;
  }
}
