package tillerlink.statements;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import tillerlink.messages.statements.Change;

/**
 * The schema of a table group, as this gateway knows it.
 *
 * @param version the schema version in effect
 * @param waiting announced changes that have not taken effect, by their numbers
 * @param leaseEnds until when this gateway's lease on it is valid, in tenths of a millisecond; in
 *     the past if it holds none
 * @param statements the names of the statements that touch it
 */
public record SchemaState(
    int group,
    long version,
    SortedMap<Long, Change> waiting,
    long leaseEnds,
    List<String> statements) {
  /** Copies the collections. */
  public SchemaState {
    waiting = new TreeMap<>(waiting);
    statements = List.copyOf(statements);
  }
}
