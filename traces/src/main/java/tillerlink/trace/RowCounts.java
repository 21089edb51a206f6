package tillerlink.trace;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Accounts for the rows of a trace. Each is counted once, as used or as skipped, and of each reason
 * the first places are kept.
 */
public final class RowCounts {
  private static final int MAX_PLACES = 5;

  /** The place of a row. */
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

  void read() {
    read++;
  }

  void outOfOrder(boolean isOutOfOrder) {
    outOfOrder += isOutOfOrder ? 1 : 0;
  }

  /** How many rows stand behind one of a later time. */
  public long rowsOutOfOrder() {
    return outOfOrder;
  }

  /** Counts the rows of a task as used: one, or a start and its end. */
  void used(int rows) {
    used += rows;
  }

  void skip(SkipReason reason, String shard, long line) {
    skipped.merge(reason, 1L, Long::sum);
    List<Place> first = places.computeIfAbsent(reason, c -> new ArrayList<>(MAX_PLACES));
    if (first.size() < MAX_PLACES) {
      first.add(new Place(shard, line));
    }
  }

  /** Counts a task as skipped that was counted as used. */
  void usedBecomesSkipped(int rows, SkipReason reason) {
    used -= rows;
    skipped.merge(reason, (long) rows, Long::sum);
  }

  public long rowsRead() {
    return read;
  }

  public long rowsUsed() {
    return used;
  }

  public long skipped(SkipReason reason) {
    return skipped.getOrDefault(reason, 0L);
  }

  /** How many rows are faults of the file. */
  public long bad() {
    long sum = 0;
    for (Map.Entry<SkipReason, Long> entry : skipped.entrySet()) {
      sum += entry.getKey().isBad() ? entry.getValue() : 0;
    }
    return sum;
  }

  public double badShare() {
    return read == 0 ? 0 : (double) bad() / read;
  }

  public List<Place> places(SkipReason reason) {
    return places.getOrDefault(reason, List.of());
  }

  /** Whether every row that was read is accounted for. */
  public boolean addsUp() {
    return read == used + skipped.values().stream().mapToLong(Long::longValue).sum();
  }
}
