package tillerlink.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * What happens when, in virtual time. Of what is due at one moment, what was put in first comes
 * first. A heap of four branches over plain arrays was measured against this and was no faster
 * (docs/replay-design.md).
 */
public final class Timeline {
  private record Event(long at, long number, Runnable what) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private long put;
  private long now;

  public Timeline(long start) {
    now = start;
  }

  /** Tenths of a millisecond; never goes back. */
  public long now() {
    return now;
  }

  /** What lies behind happens now. */
  public void at(long time, Runnable event) {
    events.add(new Event(Math.max(now, time), put++, event));
  }

  /** When the next is due, or the longest time if none is. */
  public long next() {
    return events.isEmpty() ? Long.MAX_VALUE : events.peek().at;
  }

  /** Goes on to the next and lets it happen; false if there is none. */
  public boolean step() {
    Event event = events.poll();
    if (event == null) {
      return false;
    }
    now = event.at;
    event.what.run();
    return true;
  }

  /** Lets happen what is due by a moment of another clock, and goes on to it. */
  public void follow(long clock) {
    while (next() <= clock) {
      step();
    }
    now = Math.max(now, clock);
  }
}
