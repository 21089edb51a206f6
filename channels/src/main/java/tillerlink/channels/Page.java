package tillerlink.channels;

import java.util.List;
import tillerlink.messages.channels.Entry;

/**
 * A part of a channel's log.
 *
 * @param first the number of the first event that can still be read; the events before it are
 *     compacted, see the cues
 * @param stable how many events are stable, from number 0 on: these never change; what follows may
 * @param lines events from the requested number on, stable ones first
 * @param more whether there are further ones
 */
public record Page(long first, long stable, List<Line> lines, boolean more) {
  /**
   * One event.
   *
   * @param index its number in the log
   * @param entry the event
   * @param stable whether its place is final
   * @param late whether it arrived after later ones were decided, and so stands after those
   * @param repeat whether it has the key of an earlier event, and so changes nothing
   */
  public record Line(long index, Entry entry, boolean stable, boolean late, boolean repeat) {}
}
