package tillerlink.statements.catalog;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import tillerlink.messages.statements.Definition;

/**
 * A statement in the catalog.
 *
 * @param definition the statement's definition
 * @param generation the index of the log entry that last set its text; it only grows, for each name
 *     and across all names
 * @param versions the schema versions that it is prepared under, by the groups that it uses
 * @param state whether it can be run
 * @param change the number of the change that made it other than ready; 0 if it is ready
 */
public record CatalogEntry(
    Definition definition,
    long generation,
    SortedMap<Integer, Long> versions,
    State state,
    long change) {
  /** Creates an entry with an unmodifiable copy of the versions. */
  public CatalogEntry {
    versions = Collections.unmodifiableSortedMap(new TreeMap<>(versions));
  }

  CatalogEntry withState(SortedMap<Integer, Long> newVersions, State newState, long newChange) {
    return new CatalogEntry(definition, generation, newVersions, newState, newChange);
  }
}
