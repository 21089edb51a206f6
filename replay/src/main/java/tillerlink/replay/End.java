package tillerlink.replay;

/** How a request ended for its client; reports print the names. */
public enum End {
  /** Succeeded within the latency objective. */
  IN_TIME,
  /** Succeeded, but later. */
  LATE,
  /** Rejected by the gateway. */
  TURNED_BACK,
  /** Failed. */
  BROKEN_OFF,
  /** The client disconnected at its deadline without a response. */
  CLIENT_GONE,
  /** Lost with its gateway, which was killed. */
  KILLED;

  /** Whether the client got its result. */
  public boolean isSuccess() {
    return this == IN_TIME || this == LATE;
  }
}
