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
 * The catalog of prepared statements, with the schema version of each table group. Its state is a
 * pure function of the log. The generation of a statement is the index of the log entry that set
 * its text. Because indexes only grow, a dropped name needs no tombstone, and an old text can't
 * become current again. Owned by the gateway's event loop.
 */
public final class Catalog {
  /** The maximum number of statements. */
  public static final int STATEMENTS_MAX = 1024;

  /**
   * The maximum estimated size in bytes of all definitions. The limit keeps a snapshot below the
   * maximum size of one value in the durable table.
   */
  public static final int BYTES_MAX = 640 * 1024;

  /** The maximum number of table groups with a schema version. */
  public static final int GROUPS_MAX = 256;

  /** The maximum number of announced changes of one group that have not taken effect. */
  public static final int WAITING_PER_GROUP_MAX = 8;

  /**
   * The maximum number of processes whose last outcome is stored; the process whose last request is
   * the oldest is evicted first.
   */
  static final int ORIGINS_MAX = 512;

  /** The schema version of a group before any change of it has taken effect. */
  public static final long FIRST_VERSION = 1;

  private static final int DEFINITION_OVERHEAD_BYTES = 64;
  private static final int BYTES_PER_GROUP = 16;
  private static final int BYTES_PER_PARAMETER = 4;
  private static final int USE_OVERHEAD_BYTES = 4;

  /** The maximum number of UTF-8 bytes per {@code char} of a string. */
  private static final long MAX_BYTES_PER_CHARACTER = 3;

  /** The number of the last request of a process, and its outcome. */
  record Answer(long number, Outcome outcome) {}

  final TreeMap<String, CatalogEntry> statements = new TreeMap<>();
  final TreeMap<Integer, Long> versions = new TreeMap<>();
  final TreeMap<Long, Change> waiting = new TreeMap<>();

  /** Changes in effect for which some statements are not prepared again yet, by their numbers. */
  final TreeMap<Long, Change> awaitingRepreparation = new TreeMap<>();

  /** The outcomes of the last requests by the numbers of processes, the oldest request first. */
  final LinkedHashMap<Long, Answer> answers = new LinkedHashMap<>();

  long applied;
  private long bytes;

  // ---- reading ----

  /** Returns the index of the last applied log entry; 0 if none was applied. */
  public long applied() {
    return applied;
  }

  /** Returns the statement of that name, in any state. */
  public Optional<CatalogEntry> find(String name) {
    return Optional.ofNullable(statements.get(name));
  }

  /** Returns an unmodifiable view of all statements, by their names. */
  public SortedMap<String, CatalogEntry> statements() {
    return Collections.unmodifiableSortedMap(statements);
  }

  /** Returns the schema versions of all groups that a statement or a change has named. */
  public SortedMap<Integer, Long> versions() {
    return Collections.unmodifiableSortedMap(versions);
  }

  /** Returns the schema version of the group that is in effect. */
  public long version(int group) {
    return versions.getOrDefault(group, FIRST_VERSION);
  }

  /** Returns the announced changes that have neither taken effect nor been withdrawn, by number. */
  public SortedMap<Long, Change> waiting() {
    return Collections.unmodifiableSortedMap(waiting);
  }

  /**
   * Returns whether an announced change of the group has not taken effect yet. While that is so, no
   * run that uses the group may start.
   */
  public boolean blocked(int group) {
    return waiting.values().stream().anyMatch(change -> change.groups().contains(group));
  }

  /**
   * Returns whether a change can't take effect yet because an earlier change that shares a group
   * with it has not taken effect. Such changes take effect in the order of the log.
   *
   * @param change the number of the change
   * @return true also if no announced change of that number is waiting
   */
  public boolean isBlockedByEarlierChange(long change) {
    Change announced = waiting.get(change);
    return announced == null
        || waiting.headMap(change).values().stream()
            .anyMatch(other -> other.touches(announced.groups()));
  }

  /**
   * Returns the outcome of a process's request.
   *
   * @param origin the number of the process
   * @param number the number of the request at its process
   * @return empty if the request has not been applied; an unknown outcome if a later request of the
   *     process has been applied, because only the outcome of the last one is stored
   */
  public Optional<Outcome> answer(long origin, long number) {
    Answer last = answers.get(origin);
    if (last == null || last.number < number) {
      return Optional.empty();
    }
    return Optional.of(
        last.number == number ? last.outcome : Outcome.unknown("a later request was answered"));
  }

  // ---- applying entries ----

  /**
   * Applies the next log entry. A request that was applied before changes nothing.
   *
   * @return the outcome of the request; the stored one if it was applied before
   */
  public Outcome apply(Entry entry) {
    Invariant.holds(
        entry.index() == applied + 1,
        () -> "entry " + entry.index() + " does not directly follow applied entry " + applied);
    Outcome previousOutcome =
        entry.origin() == 0 ? null : answer(entry.origin(), entry.number()).orElse(null);
    applied = entry.index();
    if (previousOutcome != null) {
      return previousOutcome;
    }
    Outcome outcome = execute(entry.index(), entry.command());
    awaitingRepreparation.keySet().removeIf(change -> !isRepreparationPending(change));
    if (entry.origin() != 0) {
      storeAnswer(entry.origin(), new Answer(entry.number(), outcome));
    }
    return outcome;
  }

  /** Returns whether a statement is not prepared again yet for that change. */
  private boolean isRepreparationPending(long change) {
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

  private Outcome execute(long index, Command command) {
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
    Optional<String> exceeded = exceededLimit(definition, old);
    if (exceeded.isPresent()) {
      return Outcome.refused("no more than " + exceeded.get());
    }
    put(new CatalogEntry(definition, index, currentVersions(definition), State.READY, 0));
    return Outcome.done(index);
  }

  /** Returns how the catalog differs from what the client expected; empty if it does not. */
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

  /** Returns a text for the limit that the definition would exceed; empty if it fits. */
  private Optional<String> exceededLimit(Definition definition, CatalogEntry old) {
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
    if (isBlockedByEarlierChange(id)) {
      return Outcome.refused("it is not its turn");
    }
    Change change = waiting.remove(id);
    change.groups().forEach(group -> versions.merge(group, 1L, Long::sum));
    awaitingRepreparation.put(id, change);
    for (CatalogEntry old : new ArrayList<>(statements.values())) {
      if (change.touches(old.definition().groups())) {
        put(afterChange(old, change, id));
      }
    }
    return Outcome.done(id);
  }

  /**
   * Returns the entry of a statement after a change of one of its groups. An invalid statement
   * stays invalid and keeps the versions that it was last prepared under.
   */
  private CatalogEntry afterChange(CatalogEntry old, Change change, long id) {
    if (old.state() == State.INVALID) {
      return old.withState(old.versions(), State.INVALID, old.change());
    }
    State impact = ChangeImpact.of(old.definition(), change);
    // A second change also invalidates a statement that has not been prepared again for the first,
    // because preparing it for the second change alone would omit the effects of the first.
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

  /** Stores an entry under its name, and checks the invariants of the catalog. */
  void put(CatalogEntry entry) {
    String name = entry.definition().name();
    CatalogEntry old = statements.put(name, entry);
    bytes += size(entry) - size(old);
    Invariant.holds(
        old == null || old.generation() <= entry.generation(),
        () -> "generation of " + name + " decreases to " + entry.generation());
    Invariant.holds(
        entry.state() != State.READY
            || entry.versions().entrySet().stream()
                .allMatch(
                    groupVersion -> version(groupVersion.getKey()) == groupVersion.getValue()),
        () -> "statement " + name + " is ready under schema versions that are not in effect");
    Invariant.holds(
        statements.size() <= STATEMENTS_MAX && bytes <= BYTES_MAX,
        () ->
            "catalog exceeds its limits: "
                + statements.size()
                + " statements, "
                + bytes
                + " bytes");
  }

  private static long size(CatalogEntry entry) {
    return entry == null ? 0 : size(entry.definition());
  }

  /** Returns an estimate of a definition's size in a snapshot, in bytes. */
  private static long size(Definition definition) {
    return definition.name().length() * MAX_BYTES_PER_CHARACTER
        + definition.text().length() * MAX_BYTES_PER_CHARACTER
        + definition.requestClass().length()
        + (long) definition.groups().size() * BYTES_PER_GROUP
        + (long) definition.parameters().size() * BYTES_PER_PARAMETER
        + definition.uses().stream()
            .mapToLong(use -> use.length() * MAX_BYTES_PER_CHARACTER + USE_OVERHEAD_BYTES)
            .sum()
        + DEFINITION_OVERHEAD_BYTES;
  }

  /** Returns the statements to be prepared again, each with the change that requires it. */
  public Map<CatalogEntry, Change> waitingAnew() {
    LinkedHashMap<CatalogEntry, Change> result = new LinkedHashMap<>();
    if (!awaitingRepreparation.isEmpty()) {
      statements.values().stream()
          .filter(entry -> entry.state() == State.ANEW)
          .forEach(entry -> result.put(entry, awaitingRepreparation.get(entry.change())));
    }
    return result;
  }
}
