package tillerlink.messages.statements;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A command of a statement log entry, applied to the catalog. The catalog is a pure function of the
 * commands in log order.
 */
public sealed interface Command {
  /** Has no effect; a leader appends it at the start of its term. */
  record Nothing() implements Command {}

  /**
   * Prepares a statement.
   *
   * @param definition the definition of the statement
   * @param versions the schema version of each table group that the client used to prepare it; the
   *     command is rejected if one of the groups has a newer version
   * @param over the generation that it replaces, 0 if the name must be unused, -1 for any
   *     generation
   */
  record Prepare(Definition definition, SortedMap<Integer, Long> versions, long over)
      implements Command {
    /** Creates a command with a copy of the versions. */
    public Prepare {
      versions = Collections.unmodifiableSortedMap(new TreeMap<>(versions));
    }
  }

  /**
   * Drops a statement.
   *
   * @param name the name of the statement
   * @param over the generation to drop, -1 for any generation
   */
  record Drop(String name, long over) implements Command {}

  /** Announces a change of the schema, which takes effect with {@link Effect}. */
  record Announce(Change change) implements Command {}

  /**
   * Withdraws an announced change of the schema.
   *
   * @param change the log index of its announcement
   */
  record TakeBack(long change) implements Command {}

  /**
   * Puts an announced change of the schema into effect.
   *
   * @param change the log index of its announcement
   */
  record Effect(long change) implements Command {}

  /**
   * Replaces a statement that was prepared again after a change of the schema.
   *
   * @param name the name of the statement
   * @param generation the generation that it replaces; the command has no effect if it is no longer
   *     the current one
   * @param definition the new definition, null if the statement can't be prepared under the new
   *     schema
   */
  record Anew(String name, long generation, Definition definition) implements Command {}

  /**
   * Readmits a voter that lost its disk.
   *
   * @param voter the name of the voter
   * @param disk the number of its new disk, under which it votes again
   */
  record Readmit(String voter, long disk) implements Command {}
}
