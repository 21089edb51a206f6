package tillerlink.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The event queue of virtual time. Events of one moment run in the order in which they were
 * scheduled. A heap of four branches over plain arrays was measured against this and was no faster
 * (docs/replay-design.md).
 */
public final class Timeline {
  private record Event(long at, long number, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private long scheduled;
  private long now;

  public Timeline(long start) {
    now = start;
  }

  /** The time in tenths of a millisecond; never goes back. */
  public long now() {
    return now;
  }

  /** Schedules an event; one in the past runs now. */
  public void at(long time, Runnable event) {
    events.add(new Event(Math.max(now, time), scheduled++, event));
  }

  /** When the next event is due; {@code Long.MAX_VALUE} if there is none. */
  public long next() {
    return events.isEmpty() ? Long.MAX_VALUE : events.peek().at;
  }

  /** Advances to the next event and runs it; false if there is none. */
  public boolean step() {
    Event event = events.poll();
    if (event == null) {
      return false;
    }
    now = event.at;
    event.action.run();
    return true;
  }

  /** Runs what is due by that time of another clock, and advances to it. */
  public void follow(long clock) {
    while (next() <= clock) {
      step();
    }
    now = Math.max(now, clock);
  }
}
