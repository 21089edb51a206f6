package tillerlink.replay;

/** The end of a request, as its client sees it. Reports print the names of the constants. */
public enum End {
  /** Succeeded within the latency objective. */
  IN_TIME,
  /** Succeeded after the latency objective. */
  LATE,
  /** Rejected by the gateway. */
  TURNED_BACK,
  /** Failed with an error response. */
  BROKEN_OFF,
  /** Ended by the client, which disconnected before it had a response, usually at its deadline. */
  CLIENT_GONE,
  /** Lost because its gateway was killed, or because no gateway was up. */
  KILLED;

  /** Returns whether the client got its result, in time or late. */
  public boolean isSuccess() {
    return this == IN_TIME || this == LATE;
  }
}
