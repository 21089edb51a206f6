package tillerlink.messages.channels;

import java.util.Comparator;
import java.util.List;

/**
 * An event of a channel, as its writer made it; it never changes.
 *
 * @param stamp hybrid logical clock: milliseconds since 1970 in the upper bits, a counter in the
 *     lower {@link #COUNTER}
 * @param airsAt milliseconds since 1970 for an air mark, otherwise 0
 * @param key the client's own key, empty if it gave none
 * @param over events on the same cue that the writer had seen and that stood
 * @param seen what the writer's gateway held and had not held when it wrote its event before this
 *     one: of each incarnation the last event up to which all was there
 */
public record Entry(
    String gateway,
    String site,
    long incarnation,
    long sequence,
    long stamp,
    String channel,
    Kind kind,
    String cue,
    String text,
    long airsAt,
    String key,
    List<Dot> over,
    List<Dot> seen) {
  public static final int COUNTER = 20;

  /**
   * The one total order; it respects causes, as a stamp is higher than those of all its writer had
   * seen.
   */
  public static final Comparator<Entry> ORDER =
      Comparator.comparingLong(Entry::stamp)
          .thenComparing(Entry::gateway)
          .thenComparingLong(Entry::incarnation)
          .thenComparingLong(Entry::sequence);

  public Dot dot() {
    return new Dot(incarnation, sequence, stamp);
  }

  /** Milliseconds since 1970. */
  public long millis() {
    return stamp >> COUNTER;
  }

  /** About what it takes in memory, and no less than on disk, in bytes. */
  public int weight() {
    return 330
        + cue.length() * 2
        + text.length() * 2
        + key.length() * 2
        + 40 * (over.size() + seen.size());
  }
}
