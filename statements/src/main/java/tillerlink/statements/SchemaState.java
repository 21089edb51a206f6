package tillerlink.statements;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import tillerlink.messages.statements.Change;

/**
 * How a table group stands, as this gateway knows it.
 *
 * @param waiting changes that are announced, by their numbers
 * @param leaseEnds until when this gateway holds a lease on it; in the past if it holds none
 */
public record SchemaState(
    int group,
    long version,
    SortedMap<Long, Change> waiting,
    long leaseEnds,
    List<String> statements) {
  public SchemaState {
    waiting = new TreeMap<>(waiting);
    statements = List.copyOf(statements);
  }
}
