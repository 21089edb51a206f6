package tillerlink.trace;

import java.util.Locale;

/**
 * Why a row of a trace was skipped. Some reasons are faults of the file, others follow from its
 * layout.
 */
public enum SkipReason {
  LINE_TOO_LONG(true),
  QUOTE_OPEN(true),
  NUL(true),
  BROKEN_UTF8(true),
  TOO_FEW_COLUMNS(true),
  TOO_MANY_COLUMNS(true),
  NOT_A_NUMBER(true),
  OUT_OF_RANGE(true),
  ENDS_BEFORE_START(true),
  /**
   * A compressed shard that ends too early or can't be unpacked, or a file that shrank while it was
   * read.
   */
  CUT_OFF(true),
  /** Of a kind that this layout does not replay, or with no known time. */
  OTHER_KIND(false),
  /** An end whose start was never seen, or a start whose end did not come. */
  UNPAIRED(false),
  /** A start that later ones evicted from the bounded join. */
  EVICTED(false),
  /** Later than the window in which rows are put in order. */
  LATE(false);

  private final boolean bad;

  SkipReason(boolean bad) {
    this.bad = bad;
  }

  /** Whether the row is a fault of the file. */
  public boolean isBad() {
    return bad;
  }

  /** The name in reports. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
