package tillerlink.net.state;

/**
 * Whether one engine connection still works: when it opened, when the engine was last heard on it,
 * and whether it answers probes. Guards against a machine that vanished, behind which connections
 * stay open and silent: a connection with attempts on which nothing is heard for half a connect
 * time-out is probed. If it does not answer within another half it is silent and takes no further
 * attempts, and a new connection shows whether the engine is there at all. A response of any kind
 * ends all of that.
 *
 * <p>It does no I/O: the connection sends the probes. Owned by the event-loop thread; all times are
 * tenths of a millisecond.
 */
public final class ConnectionLiveness {
  /** What a silent connection calls for. */
  public enum SilenceAction {
    /** Nothing yet. */
    WAIT,
    /** The engine was not heard on any connection: a new one shows whether it is there. */
    OPEN_ANOTHER,
    /** The engine is heard on other connections: this one alone is dead. */
    GIVE_UP
  }

  private final long dialedAt;

  /** Whether one that has answered a probe is probed half as often until its next attempt. */
  private final boolean backsOff;

  private boolean open;
  private long heardAt;
  private long idleSince;

  /** When an attempt was last sent over it. */
  private long sentAt;

  /** It is not probed before it has been quiet for so long. */
  private long minQuietTime;

  /** When it was probed and has not answered since; 0 if no probe is outstanding. */
  private long probedAt;

  private boolean silent;

  /**
   * @param backsOff whether a connection that has answered a probe is probed half as often until
   *     {@link #onAttemptSent}
   */
  public ConnectionLiveness(long dialedAt, boolean backsOff) {
    this.dialedAt = dialedAt;
    this.backsOff = backsOff;
    heardAt = dialedAt;
    idleSince = dialedAt;
  }

  /** The connection has opened. */
  public void onOpened(long now) {
    open = true;
    heardAt = now;
  }

  /** The engine sent something. */
  public void onHeard(long now) {
    heardAt = now;
    probedAt = 0;
    silent = false;
  }

  /** An attempt is sent; it is given time to be answered before the connection is probed. */
  public void onAttemptSent(long now) {
    sentAt = now;
    minQuietTime = 0;
  }

  /** An attempt has ended: if it was the last, the connection is idle from now on. */
  public void onAttemptEnded(long now) {
    idleSince = now;
  }

  /** Whether it has opened. */
  public boolean isOpen() {
    return open;
  }

  /** When it began to be opened. */
  public long dialedAt() {
    return dialedAt;
  }

  /** When the last attempt on it ended, or since when it exists. */
  public long idleSince() {
    return idleSince;
  }

  /** Whether it opened, or the engine was heard on it, since then. */
  public boolean heardSince(long then) {
    return open && heardAt >= then;
  }

  /** Whether it should have opened by now. */
  public boolean openTimedOut(long now, long connectTimeout) {
    return now >= dialedAt + connectTimeout;
  }

  /** Whether it is idle, if no attempt is on it, for longer than it may be. */
  public boolean idleTimedOut(long now, long idleTimeout) {
    return now >= idleSince + idleTimeout;
  }

  /** Whether a probe is to be sent, if attempts are on it. */
  public boolean probeDue(long now, long connectTimeout) {
    return probedAt == 0
        && now >= Math.max(heardAt, sentAt) + Math.max(minQuietTime, connectTimeout / 2);
  }

  /** A probe is sent. */
  public void onProbeSent(long now, long connectTimeout) {
    probedAt = now;
    if (backsOff) {
      minQuietTime = connectTimeout;
    }
  }

  /** Notes that a probe was not answered in time. */
  public void checkProbe(long now, long connectTimeout) {
    if (probedAt > 0 && !silent && now >= probedAt + connectTimeout / 2) {
      silent = true;
    }
  }

  /** Whether it did not answer a probe in time, and nothing since. */
  public boolean isSilent() {
    return silent;
  }

  /** When the probe was sent that is not yet answered; 0 if none is outstanding. */
  public long probedAt() {
    return probedAt;
  }

  /**
   * What is to be done about a silent connection.
   *
   * @param engineHeard whether the engine was heard on any connection since {@link #probedAt}
   */
  public SilenceAction silenceAction(long now, long connectTimeout, boolean engineHeard) {
    if (!engineHeard) {
      return SilenceAction.OPEN_ANOTHER;
    }
    return now >= probedAt + connectTimeout ? SilenceAction.GIVE_UP : SilenceAction.WAIT;
  }
}
