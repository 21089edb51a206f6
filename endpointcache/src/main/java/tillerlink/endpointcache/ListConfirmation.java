package tillerlink.endpointcache;

import java.nio.charset.StandardCharsets;

/**
 * The time at which the discovery service last confirmed the cached list and the rate at which the
 * list had changed until then. The encoding in the store is the time in Unix milliseconds, a tab
 * and the rate.
 *
 * @param confirmedAt the Unix time in tenths of a millisecond; 0 if the list was never confirmed
 * @param changeRate the fraction of the fleet that changes per tenth of a millisecond
 */
record ListConfirmation(long confirmedAt, double changeRate) {
  /** The value for a list that was never confirmed. */
  static final ListConfirmation NONE = new ListConfirmation(0, 0);

  private static final String SEPARATOR = "\t";
  private static final int TENTHS_PER_MS = 10;

  byte[] encode() {
    return (confirmedAt / TENTHS_PER_MS + SEPARATOR + changeRate).getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Decodes a stored value. A missing rate is read as 0.
   *
   * @return the confirmation, or {@link #NONE} if the value is malformed
   */
  static ListConfirmation decode(byte[] stored) {
    String[] fields = new String(stored, StandardCharsets.UTF_8).split(SEPARATOR, -1);
    try {
      return new ListConfirmation(
          Long.parseLong(fields[0]) * TENTHS_PER_MS,
          fields.length > 1 ? Double.parseDouble(fields[1]) : 0);
    } catch (NumberFormatException e) {
      return NONE;
    }
  }
}
