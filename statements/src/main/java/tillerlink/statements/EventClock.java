package tillerlink.statements;

/** The time of the current event, in tenths of a millisecond by the gateway's clock. */
final class EventClock {
  private long now;

  long now() {
    return now;
  }

  /** An event of the event loop begins. */
  void set(long at) {
    now = at;
  }

  /**
   * A call from within an iteration may carry a time that is behind: the clock does not go back.
   */
  void advanceTo(long at) {
    now = Math.max(now, at);
  }
}
