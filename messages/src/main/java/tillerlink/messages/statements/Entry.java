package tillerlink.messages.statements;

/**
 * An entry of the log.
 *
 * @param origin the process that asked for it, 0 for the leader itself
 * @param number the number of the request there; a repeat has the same
 */
public record Entry(long index, long term, long origin, long number, Command command) {
  /** No entry is longer when written. */
  public static final int BYTES_MOST = 10_500;
}
