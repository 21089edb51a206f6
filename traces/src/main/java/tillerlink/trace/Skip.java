package tillerlink.trace;

import java.util.Locale;

/**
 * Why a row of a trace was not used; those that are bad are faults of the file, the others belong
 * to its layout.
 */
public enum Skip {
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
  /** A start that was pushed out of the bounded join by later ones. */
  EVICTED(false),
  /** Later than the window in which rows are put in order. */
  LATE(false);

  public final boolean bad;

  Skip(boolean bad) {
    this.bad = bad;
  }

  /** As it stands in reports. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
