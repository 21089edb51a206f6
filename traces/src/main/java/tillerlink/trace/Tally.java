package tillerlink.trace;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * What became of the rows of a trace: each is counted once, and of each cause the first places are
 * kept.
 */
public final class Tally {
  private static final int PLACES_KEPT = 5;

  /** Where a row stands. */
  public record Place(String shard, long line) {
    @Override
    public String toString() {
      return shard + ":" + line;
    }
  }

  private final Map<Skip, Long> skipped = new EnumMap<>(Skip.class);
  private final Map<Skip, List<Place>> places = new EnumMap<>(Skip.class);
  private long read;
  private long used;
  private long behind;

  void read() {
    read++;
  }

  void behind(boolean one) {
    behind += one ? 1 : 0;
  }

  /** Rows that stand behind one of a later time. */
  public long rowsBehind() {
    return behind;
  }

  /** Rows that make up a task which goes on: one, or a start and its end. */
  void used(int rows) {
    used += rows;
  }

  void skip(Skip cause, String shard, long line) {
    skipped.merge(cause, 1L, Long::sum);
    List<Place> kept = places.computeIfAbsent(cause, c -> new ArrayList<>(PLACES_KEPT));
    if (kept.size() < PLACES_KEPT) {
      kept.add(new Place(shard, line));
    }
  }

  /** A task that was counted as used is given up after all. */
  void unuse(int rows, Skip cause) {
    used -= rows;
    skipped.merge(cause, (long) rows, Long::sum);
  }

  public long rowsRead() {
    return read;
  }

  public long rowsUsed() {
    return used;
  }

  public long skipped(Skip cause) {
    return skipped.getOrDefault(cause, 0L);
  }

  public long bad() {
    long sum = 0;
    for (Map.Entry<Skip, Long> one : skipped.entrySet()) {
      sum += one.getKey().bad ? one.getValue() : 0;
    }
    return sum;
  }

  public double badShare() {
    return read == 0 ? 0 : (double) bad() / read;
  }

  public List<Place> places(Skip cause) {
    return places.getOrDefault(cause, List.of());
  }

  /** Whether every row that was read is accounted for. */
  public boolean addsUp() {
    return read == used + skipped.values().stream().mapToLong(Long::longValue).sum();
  }
}
