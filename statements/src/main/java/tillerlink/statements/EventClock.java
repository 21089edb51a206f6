package tillerlink.statements;

/**
 * The time of the event that is being handled, in tenths of a millisecond by the gateway's clock.
 */
final class EventClock {
  private long now;

  long now() {
    return now;
  }

  /** Sets the time time the start of an event of the event loop. */
  void set(long time) {
    now = time;
  }

  /**
   * Advances the clock, and leaves it unchanged if the given time is earlier. A call made within an
   * event-loop iteration may carry an earlier time, and the clock must not go back.
   */
  void advanceTo(long time) {
    now = Math.max(now, time);
  }
}
