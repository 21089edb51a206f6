package tillerlink.statements.catalog;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import tillerlink.messages.statements.Definition;

/**
 * A statement as it stands in the catalog.
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
  public CatalogEntry {
    versions = Collections.unmodifiableSortedMap(new TreeMap<>(versions));
  }

  CatalogEntry under(SortedMap<Integer, Long> others, State stands, long by) {
    return new CatalogEntry(definition, generation, others, stands, by);
  }
}
