package tillerlink.messages.statements;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A change of the schema of some table groups. Names are written as in {@link Definition#uses}.
 *
 * @param groups the groups whose schema version it raises, ascending
 * @param removed statements that use one of these names become invalid
 * @param altered statements that use one of these names must be prepared again
 * @param renamed old names and new ones; statements that use an old one must be prepared again
 */
public record Change(
    List<Integer> groups,
    List<String> removed,
    List<String> altered,
    SortedMap<String, String> renamed) {
  /** Names of each kind at the most. */
  public static final int MAX_NAMES = 48;

  /** Sorts the groups, and copies all lists. */
  public Change {
    groups = groups.stream().sorted().distinct().toList();
    removed = List.copyOf(removed);
    altered = List.copyOf(altered);
    renamed = Collections.unmodifiableSortedMap(new TreeMap<>(renamed));
  }

  /** Whether one of these groups changes. */
  public boolean touches(List<Integer> others) {
    return others.stream().anyMatch(groups::contains);
  }
}
