package tillerlink.trace;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Counts of the rows of a trace. Each row is counted once, as used or as skipped, and the first
 * positions of skipped rows are recorded for each reason.
 */
public final class RowCounts {
  private static final int MAX_PLACES = 5;

  /**
   * The position of a row.
   *
   * @param shard the name of the shard
   * @param line the number of the line, counted from 1
   */
  public record Place(String shard, long line) {
    @Override
    public String toString() {
      return shard + ":" + line;
    }
  }

  private final Map<SkipReason, Long> skipped = new EnumMap<>(SkipReason.class);
  private final Map<SkipReason, List<Place>> places = new EnumMap<>(SkipReason.class);
  private long read;
  private long used;
  private long outOfOrder;

  /** Counts a row as read. */
  void countRead() {
    read++;
  }

  /** Counts a row as out of order if it is. */
  void countIfOutOfOrder(boolean isOutOfOrder) {
    outOfOrder += isOutOfOrder ? 1 : 0;
  }

  /** Returns the number of rows that follow a row of a later time. */
  public long rowsOutOfOrder() {
    return outOfOrder;
  }

  /** Counts the rows of a task as used: one row, or a start and its end. */
  void countUsed(int rows) {
    used += rows;
  }

  /**
   * Counts a row as skipped.
   *
   * @param shard the name of the shard
   * @param line the number of the line, counted from 1
   */
  void countSkipped(SkipReason reason, String shard, long line) {
    skipped.merge(reason, 1L, Long::sum);
    List<Place> first = places.computeIfAbsent(reason, key -> new ArrayList<>(MAX_PLACES));
    if (first.size() < MAX_PLACES) {
      first.add(new Place(shard, line));
    }
  }

  /** Counts rows as skipped that were counted as used. */
  void reclassifyAsSkipped(int rows, SkipReason reason) {
    used -= rows;
    skipped.merge(reason, (long) rows, Long::sum);
  }

  public long rowsRead() {
    return read;
  }

  public long rowsUsed() {
    return used;
  }

  /** Returns the number of rows that were skipped for a reason. */
  public long skipped(SkipReason reason) {
    return skipped.getOrDefault(reason, 0L);
  }

  /** Returns the number of malformed rows; see {@link SkipReason#isBad}. */
  public long bad() {
    long sum = 0;
    for (Map.Entry<SkipReason, Long> entry : skipped.entrySet()) {
      sum += entry.getKey().isBad() ? entry.getValue() : 0;
    }
    return sum;
  }

  /** Returns the share of malformed rows among the rows read, from 0 to 1. */
  public double badShare() {
    return read == 0 ? 0 : (double) bad() / read;
  }

  /** Returns the positions of the first rows that were skipped for a reason, at most 5. */
  public List<Place> places(SkipReason reason) {
    return places.getOrDefault(reason, List.of());
  }

  /** Returns whether every row that was read is counted as used or skipped. */
  public boolean addsUp() {
    return read == used + skipped.values().stream().mapToLong(Long::longValue).sum();
  }
}
