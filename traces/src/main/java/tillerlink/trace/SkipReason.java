package tillerlink.trace;

import java.util.Locale;

/**
 * The reason for which a row of a trace was skipped. Some reasons mean that the row is malformed,
 * others follow from the layout or from limits of the reader.
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
   * The shard is truncated: a compressed shard that ends too early or cannot be decompressed, or a
   * file that shrank while it was read.
   */
  CUT_OFF(true),
  /** The row is of a type that the layout does not replay, or has no known time. */
  OTHER_KIND(false),
  /** The row is an end without a start, or a start without an end. */
  UNPAIRED(false),
  /** The row is a start that later starts evicted from the bounded join. */
  EVICTED(false),
  /** The row is out of order by more than the window in which rows are sorted. */
  LATE(false);

  private final boolean bad;

  SkipReason(boolean bad) {
    this.bad = bad;
  }

  /** Returns whether the reason means that the row is malformed. */
  public boolean isBad() {
    return bad;
  }

  /** Returns the name in reports. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
