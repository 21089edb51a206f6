package tillerlink.statements.catalog;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import tillerlink.messages.statements.Definition;

/**
 * A statement in the catalog.
 *
 * @param generation the index of the log that last gave it its text: it only grows, for each name
 *     and over all names
 * @param versions the schema version of each of its groups that it is prepared under
 * @param change the change that made it other than ready; 0 if it is ready
 */
public record CatalogEntry(
    Definition definition,
    long generation,
    SortedMap<Integer, Long> versions,
    State state,
    long change) {
  /** Copies the map. */
  public CatalogEntry {
    versions = Collections.unmodifiableSortedMap(new TreeMap<>(versions));
  }

  CatalogEntry withState(SortedMap<Integer, Long> newVersions, State newState, long newChange) {
    return new CatalogEntry(definition, generation, newVersions, newState, newChange);
  }
}
