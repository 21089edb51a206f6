package tillerlink.statements;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import tillerlink.messages.statements.Change;

/**
 * The state of a table group's schema, as known to this gateway.
 *
 * @param group the number of the table group
 * @param version the schema version in effect
 * @param waiting announced changes that have not taken effect, by their numbers
 * @param leaseEnds the end of this gateway's lease on the group, in tenths of a millisecond; a time
 *     in the past if this gateway has no lease
 * @param statements the names of the statements that read or write the group
 */
public record SchemaState(
    int group,
    long version,
    SortedMap<Long, Change> waiting,
    long leaseEnds,
    List<String> statements) {
  /** Creates a state with copies of the collections. */
  public SchemaState {
    waiting = new TreeMap<>(waiting);
    statements = List.copyOf(statements);
  }
}
