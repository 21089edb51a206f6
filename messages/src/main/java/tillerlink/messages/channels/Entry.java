package tillerlink.messages.channels;

import java.util.Comparator;
import java.util.List;

/**
 * An event of a channel, as its writer made it; it never changes.
 *
 * @param gateway the gateway that wrote it
 * @param site the site of that gateway
 * @param incarnation the process that wrote it
 * @param sequence the number of the event among those of the process, from 1
 * @param stamp hybrid logical clock: milliseconds since 1970 in the upper bits, a counter in the
 *     lower {@link #COUNTER}
 * @param channel the channel it was appended to
 * @param kind what the event says
 * @param cue the name of the cue, empty for a note
 * @param text the text of the cue, of the correction or of the note
 * @param airsAt milliseconds since 1970 for an air mark, otherwise 0
 * @param key the client's idempotency key, empty if it gave none
 * @param over events on the same cue that the writer had seen and that were in effect
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
  /** The bits of a stamp that are its counter. */
  public static final int COUNTER = 20;

  /** Bytes of an event in memory without its texts and the events it names. */
  private static final int FIXED_WEIGHT_BYTES = 330;

  private static final int DOT_WEIGHT_BYTES = 40;

  /**
   * The total order of events. It respects causality: the stamp of an event is higher than those of
   * all events that its writer had seen.
   */
  public static final Comparator<Entry> ORDER =
      Comparator.comparingLong(Entry::stamp)
          .thenComparing(Entry::gateway)
          .thenComparingLong(Entry::incarnation)
          .thenComparingLong(Entry::sequence);

  /** Returns the name of this event. */
  public Dot dot() {
    return new Dot(incarnation, sequence, stamp);
  }

  /** Returns the time of the stamp, in milliseconds since 1970. */
  public long millis() {
    return stamp >> COUNTER;
  }

  /** Returns about the bytes that it takes in memory, no less than on disk. */
  public int weight() {
    return FIXED_WEIGHT_BYTES
        + cue.length() * Character.BYTES
        + text.length() * Character.BYTES
        + key.length() * Character.BYTES
        + DOT_WEIGHT_BYTES * (over.size() + seen.size());
  }
}
