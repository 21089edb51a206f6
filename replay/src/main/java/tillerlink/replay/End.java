package tillerlink.replay;

/** How a request ended for its client. */
public enum End {
  /** Fulfilled within the latency objective. */
  IN_TIME,
  /** Fulfilled, but later. */
  LATE,
  TURNED_BACK,
  BROKEN_OFF,
  /** The client's time was up and nothing had come. */
  CLIENT_GONE,
  /** Its gateway was killed with it. */
  KILLED;

  public boolean fulfilled() {
    return this == IN_TIME || this == LATE;
  }
}
