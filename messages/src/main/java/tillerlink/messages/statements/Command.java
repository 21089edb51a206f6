package tillerlink.messages.statements;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What an entry of the log does to the catalog; the catalog is a pure function of the commands in
 * their order.
 */
public sealed interface Command {
  /** Does nothing: the entry that a leader appends at the start of its term. */
  record Nothing() implements Command {}

  /**
   * Prepares a statement.
   *
   * @param definition the statement
   * @param versions the schema versions that the client prepared it under; rejected if one of the
   *     groups has a newer one
   * @param over the generation that it replaces, 0 if the name must be free, -1 for any
   */
  record Prepare(Definition definition, SortedMap<Integer, Long> versions, long over)
      implements Command {
    /** Copies the versions. */
    public Prepare {
      versions = Collections.unmodifiableSortedMap(new TreeMap<>(versions));
    }
  }

  /**
   * Drops a statement.
   *
   * @param name the name of the statement
   * @param over the generation that is dropped, -1 for any
   */
  record Drop(String name, long over) implements Command {}

  /** Announces a change of the schema. */
  record Announce(Change change) implements Command {}

  /**
   * Withdraws an announced change.
   *
   * @param change the index of its announcement
   */
  record TakeBack(long change) implements Command {}

  /**
   * Puts an announced change into effect.
   *
   * @param change the index of its announcement
   */
  record Effect(long change) implements Command {}

  /**
   * A statement prepared again after a change.
   *
   * @param name the name of the statement
   * @param generation what it replaces; without effect if that is no longer the current one
   * @param definition null if it can't be prepared under the new schema
   */
  record Anew(String name, long generation, Definition definition) implements Command {}

  /** A voter that lost its disk votes again, under the number of its new disk. */
  record Readmit(String voter, long disk) implements Command {}
}
