package tillerlink.net.state;

import java.net.InetSocketAddress;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.port.SendVerdict;
import tillerlink.telemetry.Telemetry;

/**
 * The transport to one engine: sends attempts over its connections, in the protocol of the engine,
 * and reports their results. Called on the event-loop thread; all times are tenths of a
 * millisecond.
 */
public interface EngineTransport {
  /**
   * The part of the gateway that transports use. A transport reports each event in the iteration in
   * which it happened.
   */
  interface Owner {
    /** Returns the time of this iteration, in tenths of a millisecond. */
    long now();

    /**
     * Reports that an attempt in flight has made progress.
     *
     * @param progress the kind of progress
     * @param level the level that the engine reported
     */
    void attemptProgressed(InFlightAttempt inFlight, AttemptProgress progress, double level);

    /**
     * Reports the end of an attempt; called once for each. An attempt that was sent in this
     * iteration may be ended at the earliest through {@link #runInNextIteration}.
     */
    void attemptEnded(InFlightAttempt inFlight, AttemptOutcome outcome);

    /**
     * Reports that all bytes of an attempt that {@link InFlightAttempt#hasGuard has a guard} have
     * been written; called before any response to the attempt is reported.
     */
    void attemptWritten(InFlightAttempt inFlight);

    /**
     * Returns the time before which the first byte of an attempt must be written, in tenths of a
     * millisecond. Called for an attempt that is passed to a channel in this iteration.
     */
    long writeDeadline(InFlightAttempt inFlight);

    /**
     * Reports that an attempt was written.
     *
     * @param firstByteAt when its first byte was written, in tenths of a millisecond
     * @param deadline the deadline that {@link #writeDeadline} returned
     * @param announcedWait how long the client waits according to the command sent to the engine,
     *     in tenths of a millisecond
     */
    void attemptSent(InFlightAttempt inFlight, long firstByteAt, long deadline, long announcedWait);

    /** Reports that an attempt was not written because the verdict did not allow it. */
    void attemptBlocked(InFlightAttempt inFlight, SendVerdict verdict);

    /** Runs a task at the beginning of the next iteration. */
    void runInNextIteration(Runnable task);

    /** Runs a task once all input that can be read from any connection by now was processed. */
    void runAfterPendingReads(Runnable task);

    /**
     * Lets an attempt wait for which {@link InFlightAttempt#checkWrite} returned {@link
     * SendVerdict#CLIENT_INPUT_UNREAD}.
     *
     * @param retry tries to write it again
     * @return false if it has waited for too long, so that it must not be written
     */
    boolean awaitClientInput(InFlightAttempt inFlight, Runnable retry);

    /** Returns the counters and the event log. */
    Telemetry telemetry();

    /** Logs a warning at a limited rate. */
    void warnRateLimited(String message);

    /** Starts to open a connection; its owner is notified of the result. */
    Channel connect(InetSocketAddress address, Channel.Owner owner);

    /** Returns how many connections all transports together may have open at once. */
    int maxConnections();

    /** Returns how many connections of all transports are open or being opened. */
    int openConnections();

    /**
     * Makes room for one more connection. At the limit, the connection to any engine that has been
     * idle longest is closed. This guards a fleet with more engines than connections, in which idle
     * connections would otherwise keep the other engines from being reached.
     *
     * @return whether one more connection may be opened
     */
    boolean reserveConnection();

    /**
     * Returns how long an attempt that must not be written late may wait for a peer that does not
     * read, in tenths of a millisecond.
     */
    long maxWriteDelay();

    /** Returns the number of known engines; at least 1. */
    int engineCount();

    /**
     * Reports that connections are being opened or have ended.
     *
     * @param change the change of the number of connections; negative for those that have ended
     */
    void connectionCountChanged(int change);
  }

  /**
   * Sends an attempt. If that is not possible, the attempt ends in the next iteration as not sent.
   */
  void send(InFlightAttempt inFlight);

  /**
   * Cancels an attempt in flight. The caller ends it.
   *
   * @return the outcome, which states whether the attempt may have been executed
   */
  AttemptOutcome abandon(InFlightAttempt inFlight);

  /** Removes an attempt that has ended. */
  void release(InFlightAttempt inFlight);

  /**
   * Checks the time-outs of all connections.
   *
   * @param connectTimeout how long a connection may take to open, in tenths of a millisecond
   * @param idleTimeout how long a connection may be idle, in tenths of a millisecond
   */
  void checkTimeouts(long connectTimeout, long idleTimeout);

  /**
   * Sends no new attempts over the current connections, because they lead to a process that is no
   * longer the published one.
   */
  void retireConnections();

  /**
   * Returns since when the connection that has been idle longest is idle, in tenths of a
   * millisecond; {@link Long#MAX_VALUE} if none is idle.
   */
  default long idleSince() {
    return Long.MAX_VALUE;
  }

  /** Closes the connection that has been idle longest, if any is idle. */
  default void closeIdle() {
    // By default, no connection counts as idle.
  }

  /** Returns whether the transport has neither connections nor attempts. */
  boolean isEmpty();

  /** A factory of the transports to engines. */
  @FunctionalInterface
  interface Factory {
    /**
     * Creates the transport to an engine.
     *
     * @param owner the owner to which the transport reports
     * @param engineAddress the engine and its current address
     * @param kind the name of the engine kind
     */
    EngineTransport create(Owner owner, EngineAddress engineAddress, String kind);
  }
}
