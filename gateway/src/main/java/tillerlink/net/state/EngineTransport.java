package tillerlink.net.state;

import java.net.InetSocketAddress;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.port.SendVerdict;
import tillerlink.telemetry.Telemetry;

/**
 * How attempts reach one engine and its responses come back: its connections, in whatever protocol
 * it speaks. Called on the event-loop thread; all times are tenths of a millisecond.
 */
public interface EngineTransport {
  /** What transports use of the gateway, and notify it of in the iteration in which it happened. */
  interface Owner {
    /** The time of this iteration. */
    long now();

    /** An attempt in flight has made progress. */
    void attemptProgressed(InFlightAttempt inFlight, AttemptProgress progress, double level);

    /**
     * An attempt has ended; called once for each. One that was sent in this iteration ends by
     * {@link #runInNextIteration} at the soonest.
     */
    void attemptEnded(InFlightAttempt inFlight, AttemptOutcome outcome);

    /**
     * All of an attempt that is {@link InFlightAttempt#fenced} has been written; called before
     * anything that comes of it.
     */
    void attemptWritten(InFlightAttempt inFlight);

    /** An attempt is written in this iteration; until when its first byte may be written. */
    long writeDeadline(InFlightAttempt inFlight);

    /**
     * An attempt was written.
     *
     * @param before what {@link #writeDeadline} returned
     * @param limit how long its engine was told that the client waits
     */
    void attemptSent(InFlightAttempt inFlight, long firstByteAt, long before, long limit);

    /** An attempt was not written, for the verdict did not allow it. */
    void attemptBlocked(InFlightAttempt inFlight, SendVerdict verdict);

    /** Runs a task at the beginning of the next iteration. */
    void runInNextIteration(Runnable task);

    /** Bytes are retained for a client, or no longer. */
    void retainedBytesChanged(long more);

    /** The counters and the event log. */
    Telemetry telemetry();

    /** Logs a warning, at a bounded rate. */
    void warnRateLimited(String line);

    /** Opens a connection. */
    Channel connect(InetSocketAddress to, Channel.Owner owner);

    /** Connections to engines that may be open at once, by all transports together. */
    int maxConnections();

    /** How many are open or being opened now. */
    int openConnections();

    /**
     * Whether one more may be opened. At the bound the one that has been idle longest, to any
     * engine, is closed for it: guards a fleet of more engines than connections, where those that
     * are idle would lock the others out.
     */
    boolean reserveConnection();

    /** How long what must not be written later may wait here for a peer that does not read. */
    long maxWriteDelay();

    /** How many engines are known. */
    int engineCount();

    /** Connections are being opened, or have ended. */
    void connectionCountChanged(int more);
  }

  /**
   * Sends an attempt. If that is not possible, it ends as one that was never sent, in the next
   * iteration.
   */
  void send(InFlightAttempt inFlight);

  /** Cancels an attempt in flight; what that proves about its execution. The caller ends it. */
  AttemptOutcome abandon(InFlightAttempt inFlight);

  /** An attempt has ended and is expected here no more. */
  void release(InFlightAttempt inFlight);

  /** Does what is due. */
  void checkTimeouts(long connectTimeout, long idleTimeout);

  /**
   * Sends no new attempts over what is open now: that leads to a process which is not the one that
   * was published.
   */
  void retireConnections();

  /**
   * Since when its connection that has been idle longest carries nothing; {@link Long#MAX_VALUE} if
   * none is idle.
   */
  default long idleSince() {
    return Long.MAX_VALUE;
  }

  /** Closes that connection. */
  default void closeIdle() {
    // Where none is idle, none is closed.
  }

  /** Whether it has neither connections nor attempts. */
  boolean isEmpty();

  /** Creates the transport of an engine. */
  @FunctionalInterface
  interface Factory {
    /**
     * Creates one.
     *
     * @param kind the engine's kind, by its name
     */
    EngineTransport create(Owner owner, EngineAddress engineAddress, String kind);
  }
}
