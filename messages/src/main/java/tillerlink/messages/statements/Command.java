package tillerlink.messages.statements;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/** What the log of the catalog says; the catalog is a pure function of it. */
public sealed interface Command {
  /** The first word of a leader in its term. */
  record Nothing() implements Command {}

  /**
   * @param versions the schema versions that the client prepared it under; refused if one has moved
   *     on
   * @param over the generation that it replaces, 0 if none may stand, -1 if it doesn't matter
   */
  record Prepare(Definition definition, SortedMap<Integer, Long> versions, long over)
      implements Command {
    public Prepare {
      versions = Collections.unmodifiableSortedMap(new TreeMap<>(versions));
    }
  }

  /**
   * @param over the generation that is dropped, -1 if it doesn't matter
   */
  record Drop(String name, long over) implements Command {}

  record Announce(Change change) implements Command {}

  /**
   * @param change the index of its announcement
   */
  record TakeBack(long change) implements Command {}

  /**
   * @param change the index of its announcement
   */
  record Effect(long change) implements Command {}

  /**
   * A statement prepared anew after a change.
   *
   * @param generation what it replaces; void if that is no longer the one that stands
   * @param definition null if it can't be prepared under the new schema
   */
  record Anew(String name, long generation, Definition definition) implements Command {}

  /** A voter that lost its disk votes again, under the new disk's number. */
  record Readmit(String voter, long disk) implements Command {}
}
