package tillerlink.channels;

import java.util.List;
import tillerlink.messages.channels.Entry;

/**
 * A part of a channel's log.
 *
 * @param first the number of the first event that can still be read; what was before it is in the
 *     sum, see the cues
 * @param stable how many events are stable, from number 0: these never change, and what follows may
 * @param lines events from the number asked for on, stable ones first
 * @param more whether there are further ones
 */
public record Page(long first, long stable, List<Line> lines, boolean more) {
  /**
   * One event.
   *
   * @param stable whether its place is final
   * @param late it came after later ones were agreed on, and stands behind those
   * @param repeat it has the key of an earlier event and changes nothing
   */
  public record Line(long index, Entry entry, boolean stable, boolean late, boolean repeat) {}
}
