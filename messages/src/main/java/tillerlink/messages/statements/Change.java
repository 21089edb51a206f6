package tillerlink.messages.statements;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A change of the schema of some table groups. Names are worded as in {@link Definition#uses}.
 *
 * @param groups the groups whose version it raises
 * @param removed whoever uses one of these is invalid from then on
 * @param altered whoever uses one of these needs preparing anew
 * @param renamed old names and new ones; whoever uses an old one needs preparing anew
 */
public record Change(
    List<Integer> groups,
    List<String> removed,
    List<String> altered,
    SortedMap<String, String> renamed) {
  public static final int NAMES_MOST = 48;

  public Change {
    groups = groups.stream().sorted().distinct().toList();
    removed = List.copyOf(removed);
    altered = List.copyOf(altered);
    renamed = Collections.unmodifiableSortedMap(new TreeMap<>(renamed));
  }

  public boolean touches(List<Integer> others) {
    return others.stream().anyMatch(groups::contains);
  }
}
