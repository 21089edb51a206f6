package tillerlink.channels;

import java.util.ArrayList;
import java.util.List;
import tillerlink.channels.journal.ChannelLog;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.journal.OrderedEvent;
import tillerlink.messages.channels.Entry;

/** A reader of one page of a channel's log: the stable events first, then the provisional ones. */
final class PageReader {
  private final ChannelLog log;
  private final long upTo;
  private final int maxBytes;
  private final List<Page.Line> lines = new ArrayList<>();
  private long bytes;

  private PageReader(ChannelLog log, long upTo, int maxBytes) {
    this.log = log;
    this.upTo = upTo;
    this.maxBytes = maxBytes;
  }

  /**
   * Returns a page of a channel's log.
   *
   * @param from the index of the first event to return, from 0
   * @param maxBytes the approximate limit on the events' size in bytes; if there are events, the
   *     page has at least one whatever its size
   * @return the page; without events if the channel has none
   */
  static Page read(Journal journal, String channel, long from, int maxBytes) {
    ChannelLog log = journal.logs().get(channel);
    return log == null
        ? new Page(0, 0, List.of(), false)
        : new PageReader(log, journal.upTo(), maxBytes).read(from);
  }

  private Page read(long from) {
    long first = Math.max(from, log.first());
    boolean isComplete = addStable(first) && addProvisional(first);
    return new Page(log.first(), log.stableCount(), lines, !isComplete);
  }

  /** Adds the stable events from an index on, and returns whether all of them fitted. */
  private boolean addStable(long first) {
    for (long index = first; index < log.stableCount(); index++) {
      OrderedEvent event = log.stable(index);
      if (isFull(event.entry())) {
        return false;
      }
      lines.add(new Page.Line(index, event.entry(), true, event.late(), event.repeat()));
    }
    return true;
  }

  /** Adds the provisional events from an index on, and returns whether all of them fitted. */
  private boolean addProvisional(long first) {
    long index = log.stableCount();
    for (Entry entry : log.tail()) {
      if (index >= first) {
        if (isFull(entry)) {
          return false;
        }
        boolean late = entry.stamp() <= upTo;
        lines.add(new Page.Line(index, entry, false, late, log.isRepeat(entry)));
      }
      index++;
    }
    return true;
  }

  /** Counts an event's size, and returns whether the page has no room for the event. */
  private boolean isFull(Entry next) {
    bytes += next.weight();
    return bytes > maxBytes && !lines.isEmpty();
  }
}
