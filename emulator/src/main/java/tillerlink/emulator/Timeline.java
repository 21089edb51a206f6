package tillerlink.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The event queue of an emulated cluster, with its virtual time. Events at the same time run in the
 * order in which they were scheduled. A 4-ary heap over plain arrays was no faster than the
 * priority queue (docs/replay-design.md).
 */
public final class Timeline {
  /** A scheduled action; the sequence number orders events at the same time. */
  private record Event(long at, long sequence, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
  private long nextSequence;
  private long now;

  /**
   * Creates an empty queue.
   *
   * @param start the time at which it starts, in tenths of a millisecond
   */
  public Timeline(long start) {
    now = start;
  }

  /** Returns the virtual time in tenths of a millisecond, which never goes back. */
  public long now() {
    return now;
  }

  /**
   * Schedules an event.
   *
   * @param time when it runs, in tenths of a millisecond; a time in the past means now
   * @param event the action to run
   */
  public void at(long time, Runnable event) {
    events.add(new Event(Math.max(now, time), nextSequence++, event));
  }

  /**
   * Returns the time of the next event.
   *
   * @return the time in tenths of a millisecond, or {@code Long.MAX_VALUE} if none is scheduled
   */
  public long next() {
    return events.isEmpty() ? Long.MAX_VALUE : events.peek().at;
  }

  /**
   * Advances the time to the next event and runs it.
   *
   * @return false if no event is scheduled
   */
  public boolean step() {
    Event event = events.poll();
    if (event == null) {
      return false;
    }
    now = event.at;
    event.action.run();
    return true;
  }

  /**
   * Advances the time to that of another clock and runs the events that are due by then.
   *
   * @param clock the other clock's time, in tenths of a millisecond
   */
  public void follow(long clock) {
    while (next() <= clock) {
      step();
    }
    now = Math.max(now, clock);
  }
}
