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
 * The prepared statements, and the schema version of each table group: a pure function of the log.
 * A generation is the index of the entry that gave a statement its text: a name that is dropped
 * needs no tombstone, and no old text comes back. Owned by the gateway's event loop.
 */
public final class Catalog {
  /** Statements at most. */
  public static final int STATEMENTS_MAX = 1024;

  /**
   * Bytes of all texts and names; a snapshot stays below what one value of the durable table holds.
   */
  public static final int BYTES_MAX = 640 * 1024;

  /** Table groups with a schema version at most. */
  public static final int GROUPS_MAX = 256;

  /** Announced changes of one group that have not taken effect, at most. */
  public static final int WAITING_PER_GROUP_MAX = 8;

  /** Processes whose last request is stored, those that asked last. */
  static final int ORIGINS_MAX = 512;

  /** The schema version of a group of which no change took effect. */
  public static final long FIRST_VERSION = 1;

  private static final int DEFINITION_OVERHEAD = 64;
  private static final int GROUP_BYTES = 16;
  private static final int PARAMETER_BYTES = 4;
  private static final int USE_OVERHEAD = 4;

  /** Bytes of UTF-8 that a character may take up. */
  private static final long CHARACTER_BYTES = 3;

  /** The outcome of the last request of a process. */
  record Answer(long number, Outcome outcome) {}

  final TreeMap<String, CatalogEntry> statements = new TreeMap<>();
  final TreeMap<Integer, Long> versions = new TreeMap<>();
  final TreeMap<Long, Change> waiting = new TreeMap<>();

  /** Changes in effect that statements are still to be prepared again for. */
  final TreeMap<Long, Change> unsettled = new TreeMap<>();

  /** By the numbers of processes. */
  final LinkedHashMap<Long, Answer> answers = new LinkedHashMap<>();

  long applied;
  private long bytes;

  // ---- reading ----

  /** The index of the last entry that was applied. */
  public long applied() {
    return applied;
  }

  /** The statement of that name, in any state. */
  public Optional<CatalogEntry> find(String name) {
    return Optional.ofNullable(statements.get(name));
  }

  /** All statements, by their names. */
  public SortedMap<String, CatalogEntry> statements() {
    return Collections.unmodifiableSortedMap(statements);
  }

  /** The schema versions of all groups that a statement or a change has named. */
  public SortedMap<Integer, Long> versions() {
    return Collections.unmodifiableSortedMap(versions);
  }

  /** The schema version of the group that is in effect. */
  public long version(int group) {
    return versions.getOrDefault(group, FIRST_VERSION);
  }

  /** Announced changes that have neither taken effect nor been withdrawn, by their numbers. */
  public SortedMap<Long, Change> waiting() {
    return Collections.unmodifiableSortedMap(waiting);
  }

  /** Whether an announced change of the group waits: no run under it may start. */
  public boolean blocked(int group) {
    return waiting.values().stream().anyMatch(change -> change.groups().contains(group));
  }

  /**
   * Whether an earlier change waits that shares a group with this one: they take effect in the
   * order of the log.
   */
  public boolean isBehindAnother(long change) {
    Change announced = waiting.get(change);
    return announced == null
        || waiting.headMap(change).values().stream()
            .anyMatch(other -> other.touches(announced.groups()));
  }

  /** The outcome of a process's request, if it is in the log. */
  public Optional<Outcome> answer(long origin, long number) {
    Answer last = answers.get(origin);
    if (last == null || last.number < number) {
      return Optional.empty();
    }
    return Optional.of(
        last.number == number ? last.outcome : Outcome.unknown("a later request was answered"));
  }

  // ---- applying entries ----

  /** Applies the next entry; a request that was applied before changes nothing. */
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
    unsettled.keySet().removeIf(change -> !isAwaited(change));
    if (entry.origin() != 0) {
      storeAnswer(entry.origin(), new Answer(entry.number(), outcome));
    }
    return outcome;
  }

  /** Whether a statement is still to be prepared again for that change. */
  private boolean isAwaited(long change) {
    return statements.values().stream()
        .anyMatch(entry -> entry.state() == State.ANEW && entry.change() == change);
  }

  private void storeAnswer(long origin, Answer answer) {
    answers.remove(origin);
    answers.put(origin, answer);
    if (answers.size() > ORIGINS_MAX) {
      answers.remove(answers.keySet().iterator().next());
    }
  }

  private Outcome run(long index, Command command) {
    if (command instanceof Command.Prepare prepare) {
      return prepare(index, prepare);
    } else if (command instanceof Command.Drop drop) {
      return drop(drop);
    } else if (command instanceof Command.Announce announce) {
      return announce(index, announce.change());
    } else if (command instanceof Command.TakeBack takeBack) {
      return withdraw(takeBack.change());
    } else if (command instanceof Command.Effect effect) {
      return putIntoEffect(effect.change());
    } else if (command instanceof Command.Anew anew) {
      return prepareAgain(index, anew);
    }
    return Outcome.done(index);
  }

  private Outcome prepare(long index, Command.Prepare command) {
    Definition definition = command.definition();
    CatalogEntry old = statements.get(definition.name());
    Optional<String> conflict = conflict(command, old);
    if (conflict.isPresent()) {
      return Outcome.refused(conflict.get());
    }
    if (old != null && old.state() == State.READY && old.definition().equals(definition)) {
      return Outcome.done(old.generation());
    }
    Optional<String> exceeded = exceededBound(definition, old);
    if (exceeded.isPresent()) {
      return Outcome.refused("no more than " + exceeded.get());
    }
    put(new CatalogEntry(definition, index, currentVersions(definition), State.READY, 0));
    return Outcome.done(index);
  }

  /** Why the catalog is no longer as the client saw it; empty if it is. */
  private Optional<String> conflict(Command.Prepare command, CatalogEntry old) {
    for (int group : command.definition().groups()) {
      if (command.versions().getOrDefault(group, 0L) != version(group)) {
        return Optional.of("the schema of group " + group + " is at version " + version(group));
      }
    }
    if (command.over() >= 0 && command.over() != (old == null ? 0 : old.generation())) {
      return Optional.of(
          old == null ? "it is not prepared" : "its generation is " + old.generation());
    }
    return Optional.empty();
  }

  /** The bound that the catalog would exceed with the definition; empty if none. */
  private Optional<String> exceededBound(Definition definition, CatalogEntry old) {
    if (old == null && statements.size() >= STATEMENTS_MAX) {
      return Optional.of(STATEMENTS_MAX + " statements");
    }
    if (bytes - size(old) + size(definition) > BYTES_MAX) {
      return Optional.of(BYTES_MAX + " bytes of statements");
    }
    return hasCapacityFor(definition.groups())
        ? Optional.empty()
        : Optional.of(GROUPS_MAX + " table groups");
  }

  private boolean hasCapacityFor(List<Integer> groups) {
    return versions.size() + groups.stream().filter(group -> !versions.containsKey(group)).count()
        <= GROUPS_MAX;
  }

  private SortedMap<Integer, Long> currentVersions(Definition definition) {
    TreeMap<Integer, Long> current = new TreeMap<>();
    for (int group : definition.groups()) {
      versions.putIfAbsent(group, FIRST_VERSION);
      current.put(group, version(group));
    }
    return current;
  }

  private Outcome drop(Command.Drop command) {
    CatalogEntry old = statements.get(command.name());
    if (old == null) {
      return Outcome.refused("it is not prepared");
    }
    if (command.over() >= 0 && command.over() != old.generation()) {
      return Outcome.refused("its generation is " + old.generation());
    }
    statements.remove(command.name());
    bytes -= size(old);
    return Outcome.done(old.generation());
  }

  private Outcome announce(long index, Change change) {
    for (int group : change.groups()) {
      long others =
          waiting.values().stream().filter(other -> other.groups().contains(group)).count();
      if (others >= WAITING_PER_GROUP_MAX) {
        return Outcome.refused(
            WAITING_PER_GROUP_MAX + " changes of group " + group + " wait already");
      }
    }
    if (waiting.size() >= GROUPS_MAX || !hasCapacityFor(change.groups())) {
      return Outcome.refused("no more than " + GROUPS_MAX + " table groups");
    }
    change.groups().forEach(group -> versions.putIfAbsent(group, FIRST_VERSION));
    waiting.put(index, change);
    return Outcome.done(index);
  }

  private Outcome withdraw(long id) {
    return waiting.remove(id) != null
        ? Outcome.done(id)
        : Outcome.refused("the change has taken effect, was taken back or was never announced");
  }

  private Outcome putIntoEffect(long id) {
    if (isBehindAnother(id)) {
      return Outcome.refused("it is not its turn");
    }
    Change change = waiting.remove(id);
    change.groups().forEach(group -> versions.merge(group, 1L, Long::sum));
    unsettled.put(id, change);
    for (CatalogEntry old : new ArrayList<>(statements.values())) {
      if (change.touches(old.definition().groups())) {
        put(afterChange(old, change, id));
      }
    }
    return Outcome.done(id);
  }

  /** An invalid statement stays so, and keeps the versions that it was last prepared under. */
  private CatalogEntry afterChange(CatalogEntry old, Change change, long id) {
    if (old.state() == State.INVALID) {
      return old.withState(old.versions(), State.INVALID, old.change());
    }
    State impact = ChangeImpact.of(old.definition(), change);
    // A second change before the statement was prepared again for the first invalidates it too:
    // preparing it for the second would not do what the first asked for.
    if (impact == State.INVALID || old.state() == State.ANEW) {
      return old.withState(old.versions(), State.INVALID, id);
    }
    return impact == State.ANEW
        ? old.withState(old.versions(), State.ANEW, id)
        : old.withState(currentVersions(old.definition()), State.READY, 0);
  }

  private Outcome prepareAgain(long index, Command.Anew command) {
    CatalogEntry old = statements.get(command.name());
    if (old == null || old.generation() != command.generation() || old.state() != State.ANEW) {
      return Outcome.refused("it stands no more as it did");
    }
    Definition definition = command.definition();
    boolean possible =
        definition != null
            && definition.name().equals(command.name())
            && hasCapacityFor(definition.groups())
            && bytes - size(old) + size(definition) <= BYTES_MAX;
    put(
        possible
            ? new CatalogEntry(definition, index, currentVersions(definition), State.READY, 0)
            : old.withState(old.versions(), State.INVALID, old.change()));
    return Outcome.done(index);
  }

  void put(CatalogEntry entry) {
    String name = entry.definition().name();
    CatalogEntry old = statements.put(name, entry);
    bytes += size(entry) - size(old);
    Invariant.holds(
        old == null || old.generation() <= entry.generation(),
        () -> "generation of " + name + " falls");
    Invariant.holds(
        entry.state() != State.READY
            || entry.versions().entrySet().stream()
                .allMatch(each -> version(each.getKey()) == each.getValue()),
        () -> name + " is ready under an old schema");
    Invariant.holds(
        statements.size() <= STATEMENTS_MAX && bytes <= BYTES_MAX,
        () -> "catalog beyond its bounds");
  }

  private static long size(CatalogEntry entry) {
    return entry == null ? 0 : size(entry.definition());
  }

  /** About how many bytes a definition takes up in a snapshot. */
  private static long size(Definition definition) {
    return definition.name().length() * CHARACTER_BYTES
        + definition.text().length() * CHARACTER_BYTES
        + definition.requestClass().length()
        + (long) definition.groups().size() * GROUP_BYTES
        + (long) definition.parameters().size() * PARAMETER_BYTES
        + definition.uses().stream()
            .mapToLong(use -> use.length() * CHARACTER_BYTES + USE_OVERHEAD)
            .sum()
        + DEFINITION_OVERHEAD;
  }

  /** Statements that are to be prepared again, each with the change that asks for it. */
  public Map<CatalogEntry, Change> waitingAnew() {
    LinkedHashMap<CatalogEntry, Change> result = new LinkedHashMap<>();
    if (!unsettled.isEmpty()) {
      statements.values().stream()
          .filter(entry -> entry.state() == State.ANEW)
          .forEach(entry -> result.put(entry, unsettled.get(entry.change())));
    }
    return result;
  }
}
