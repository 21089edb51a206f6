package tillerlink.messages.channels;

import java.util.Comparator;
import java.util.List;

/**
 * An immutable event of a channel.
 *
 * @param gateway the gateway that wrote the event
 * @param site the site of that gateway
 * @param incarnation the process that wrote the event
 * @param sequence the sequence number of the event among those of the process, from 1
 * @param stamp the timestamp of the hybrid logical clock: milliseconds since 1970 in the upper
 *     bits, a counter in the lower {@link #COUNTER} bits
 * @param channel the channel that the event was appended to
 * @param kind the kind of the event
 * @param cue the name of the cue, empty for a note
 * @param text the text of the cue, of the correction or of the note
 * @param airsAt the time on air in milliseconds since 1970 for an event of kind AIR, otherwise 0
 * @param key the client's idempotency key, empty if it sent none
 * @param over the events on the same cue that the writer had seen and that were in effect
 * @param seen the events that the writer's gateway stored since it wrote its previous event: for
 *     each incarnation, the last event up to which it stores all of them
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
  /** The width of a stamp's counter, in bits. */
  public static final int COUNTER = 20;

  /** The memory of an event in bytes, without its texts and the events it refers to. */
  private static final int FIXED_WEIGHT_BYTES = 330;

  private static final int DOT_WEIGHT_BYTES = 40;

  /**
   * The total order of events. It respects causality, because the stamp of an event is higher than
   * those of all events that its writer had seen.
   */
  public static final Comparator<Entry> ORDER =
      Comparator.comparingLong(Entry::stamp)
          .thenComparing(Entry::gateway)
          .thenComparingLong(Entry::incarnation)
          .thenComparingLong(Entry::sequence);

  /** Returns the identifier of this event. */
  public Dot dot() {
    return new Dot(incarnation, sequence, stamp);
  }

  /** Returns the wall-clock part of the stamp, in milliseconds since 1970. */
  public long millis() {
    return stamp >> COUNTER;
  }

  /** Returns the approximate size in memory, in bytes; it is never below the size on disk. */
  public int weight() {
    return FIXED_WEIGHT_BYTES
        + cue.length() * Character.BYTES
        + text.length() * Character.BYTES
        + key.length() * Character.BYTES
        + DOT_WEIGHT_BYTES * (over.size() + seen.size());
  }
}
