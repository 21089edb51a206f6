package tillerlink.channels;

import java.util.List;
import tillerlink.messages.channels.Entry;

/**
 * A part of a channel's log.
 *
 * @param first the index of the first event that is not compacted; events before it can no longer
 *     be read, but their effect is contained in the channel's cues
 * @param stable the number of stable events, which have the indexes from 0 on and never change; the
 *     provisional events after them may change their places
 * @param lines the events from the requested index on, stable ones first
 * @param more whether the log has events after these
 */
public record Page(long first, long stable, List<Line> lines, boolean more) {
  /**
   * An event with its place in the log.
   *
   * @param index the event's index in the log, from 0
   * @param entry the event
   * @param stable whether the event's place is final
   * @param late whether the event arrived after events with higher stamps had been decided, so that
   *     it is ordered after those
   * @param repeat whether an earlier event has the same idempotency key, so that this one has no
   *     effect
   */
  public record Line(long index, Entry entry, boolean stable, boolean late, boolean repeat) {}
}
