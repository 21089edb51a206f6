package tillerlink.messages.statements;

/**
 * An entry of the replicated log of the catalog.
 *
 * @param index its place in the log, from 1
 * @param term the term of the leader that appended it
 * @param origin the process that requested it, 0 for the leader itself
 * @param number the number of the request at its origin; a retry has the same
 * @param command what it does to the catalog
 */
public record Entry(long index, long term, long origin, long number, Command command) {
  /** Bytes of a written entry at the most. */
  public static final int MAX_BYTES = 10_500;
}
