package tillerlink.channels;

import java.util.ArrayList;
import java.util.List;
import tillerlink.channels.journal.ChannelLog;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.journal.OrderedEvent;
import tillerlink.messages.channels.Entry;

/** Reads one page of a channel's log: stable events first, provisional ones after them. */
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
   * Reads a page.
   *
   * @param from the number of the first event
   * @param maxBytes about the bytes of events on the page; it has one event at least
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

  /** Whether all were added. */
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

  /** Whether all were added. */
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

  private boolean isFull(Entry next) {
    bytes += next.weight();
    return bytes > maxBytes && !lines.isEmpty();
  }
}
