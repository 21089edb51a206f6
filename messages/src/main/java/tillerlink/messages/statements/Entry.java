package tillerlink.messages.statements;

/**
 * An entry of the statement log, the replicated log of the catalog.
 *
 * @param index the position in the log, from 1
 * @param term the term of the leader that appended the entry
 * @param origin the process that requested the entry, 0 for the leader itself
 * @param number the number of the request at its origin; a retry has the same number
 * @param command the command to apply to the catalog
 */
public record Entry(long index, long term, long origin, long number, Command command) {
  /** The maximum size of an encoded entry, in bytes. */
  public static final int MAX_BYTES = 10_500;
}
