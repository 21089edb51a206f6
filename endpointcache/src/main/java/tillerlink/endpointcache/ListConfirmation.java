package tillerlink.endpointcache;

import java.nio.charset.StandardCharsets;

/**
 * When the cached list was last confirmed by discovery and how fast it changed until then, with the
 * stored form: milliseconds, a tab, the rate.
 *
 * @param confirmedAt Unix time in tenths of a millisecond; 0 if it never was
 * @param changeRate the fraction of the fleet that changes in a tenth of a millisecond
 */
record ListConfirmation(long confirmedAt, double changeRate) {
  /** No list was confirmed. */
  static final ListConfirmation NONE = new ListConfirmation(0, 0);

  private static final String SEPARATOR = "\t";
  private static final int TENTHS_PER_MS = 10;

  byte[] encoded() {
    return (confirmedAt / TENTHS_PER_MS + SEPARATOR + changeRate).getBytes(StandardCharsets.UTF_8);
  }

  /** Reads the stored form; {@link #NONE} if it is malformed. */
  static ListConfirmation decoded(byte[] stored) {
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
