package tillerlink.messages.statements;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A change of the schema of some table groups. Names have the form of {@link Definition#uses}.
 *
 * @param groups the table groups whose schema version the change increments, ascending
 * @param removed the removed names; statements that use one of them become invalid
 * @param altered the altered names; statements that use one of them must be prepared again
 * @param renamed the new name for each old name; statements that use an old name must be prepared
 *     again
 */
public record Change(
    List<Integer> groups,
    List<String> removed,
    List<String> altered,
    SortedMap<String, String> renamed) {
  /** The maximum number of removed, of altered and of renamed names, each. */
  public static final int MAX_NAMES = 48;

  /** Creates a change with sorted, distinct groups and copies of all collections. */
  public Change {
    groups = groups.stream().sorted().distinct().toList();
    removed = List.copyOf(removed);
    altered = List.copyOf(altered);
    renamed = Collections.unmodifiableSortedMap(new TreeMap<>(renamed));
  }

  /** Returns whether this change affects one of the given table groups. */
  public boolean touches(List<Integer> tableGroups) {
    return tableGroups.stream().anyMatch(groups::contains);
  }
}
