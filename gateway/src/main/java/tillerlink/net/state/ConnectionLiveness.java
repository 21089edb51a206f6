package tillerlink.net.state;

/**
 * The liveness of one engine connection: tracks when it opened, when the engine was last heard on
 * it, and whether the engine answers probes. Guards against a machine that vanished, because
 * connections to such a machine stay open and silent. A connection that carries attempts and on
 * which nothing was received for half a connect time-out is probed. If the engine does not answer
 * within another half, the connection is silent: it takes no further attempts, and a new connection
 * shows whether the engine can be reached at all. A response of any kind ends the silence.
 *
 * <p>This class does no I/O: the connection sends the probes. Confined to the event-loop thread;
 * all times are tenths of a millisecond.
 */
public final class ConnectionLiveness {
  /** The action to take on a silent connection. */
  public enum SilenceAction {
    /** Do nothing yet. */
    WAIT,
    /**
     * Open another connection: the engine was not heard on any, and a new one shows whether it can
     * be reached.
     */
    OPEN_ANOTHER,
    /** Close the connection: the engine is heard on other connections, so only this one is dead. */
    GIVE_UP
  }

  private final long dialedAt;

  /**
   * Whether a connection that has answered a probe is probed half as often until its next attempt.
   */
  private final boolean backsOff;

  private boolean open;
  private long lastHeardAt;
  private long idleSince;

  /** The time at which an attempt was last sent over the connection. */
  private long lastAttemptSentAt;

  /** The least time without input before the next probe, if longer than half a connect time-out. */
  private long minQuietTime;

  /** The time at which the outstanding probe was sent; 0 if no probe is outstanding. */
  private long probedAt;

  private boolean silent;

  /**
   * Creates the state of a connection that is being opened.
   *
   * @param dialedAt when the connection began to be opened, in tenths of a millisecond
   * @param backsOff whether a connection that has answered a probe is probed half as often until
   *     {@link #onAttemptSent}
   */
  public ConnectionLiveness(long dialedAt, boolean backsOff) {
    this.dialedAt = dialedAt;
    this.backsOff = backsOff;
    lastHeardAt = dialedAt;
    idleSince = dialedAt;
  }

  /** Records that the connection has opened. */
  public void onOpened(long now) {
    open = true;
    lastHeardAt = now;
  }

  /** Records that the engine sent something, which ends a silence and answers any probe. */
  public void onHeard(long now) {
    lastHeardAt = now;
    probedAt = 0;
    silent = false;
  }

  /**
   * Records that an attempt is sent. The connection is not probed before the engine has had half a
   * connect time-out to answer it.
   */
  public void onAttemptSent(long now) {
    lastAttemptSentAt = now;
    minQuietTime = 0;
  }

  /** Records that an attempt has ended. If it was the last, the connection is idle from now on. */
  public void onAttemptEnded(long now) {
    idleSince = now;
  }

  /** Returns whether the connection has opened. */
  public boolean isOpen() {
    return open;
  }

  /** Returns when the connection began to be opened, in tenths of a millisecond. */
  public long dialedAt() {
    return dialedAt;
  }

  /**
   * Returns when the last attempt on the connection ended, in tenths of a millisecond; when it
   * began to be opened if none has ended yet.
   */
  public long idleSince() {
    return idleSince;
  }

  /** Returns whether the connection opened, or the engine was heard on it, at or after a time. */
  public boolean heardSince(long earliest) {
    return open && lastHeardAt >= earliest;
  }

  /** Returns whether the time in which the connection must open has passed. */
  public boolean openTimedOut(long now, long connectTimeout) {
    return now >= dialedAt + connectTimeout;
  }

  /**
   * Returns whether the idle time-out has passed since the last attempt ended. Only meaningful
   * while the connection carries no attempts.
   */
  public boolean idleTimedOut(long now, long idleTimeout) {
    return now >= idleSince + idleTimeout;
  }

  /** Returns whether a probe must be sent, provided that the connection carries attempts. */
  public boolean probeDue(long now, long connectTimeout) {
    return probedAt == 0
        && now
            >= Math.max(lastHeardAt, lastAttemptSentAt)
                + Math.max(minQuietTime, connectTimeout / 2);
  }

  /** Records that a probe is sent. */
  public void onProbeSent(long now, long connectTimeout) {
    probedAt = now;
    if (backsOff) {
      minQuietTime = connectTimeout;
    }
  }

  /** Marks the connection as silent if a probe was not answered within half a connect time-out. */
  public void checkProbe(long now, long connectTimeout) {
    if (probedAt > 0 && !silent && now >= probedAt + connectTimeout / 2) {
      silent = true;
    }
  }

  /** Returns whether a probe was not answered in time and nothing was received since. */
  public boolean isSilent() {
    return silent;
  }

  /**
   * Returns when the outstanding probe was sent, in tenths of a millisecond; 0 if no probe is
   * outstanding.
   */
  public long probedAt() {
    return probedAt;
  }

  /**
   * Returns the action to take on a silent connection.
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
