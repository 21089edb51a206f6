package tillerlink.net.state;

import java.net.InetSocketAddress;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.policy.SendVerdict;
import tillerlink.telemetry.Telemetry;

/**
 * How attempts reach one engine and what it says of them comes back: its connections, in whatever
 * protocol it speaks.
 */
public interface EngineTransport {
  /** What the state is told by a transport, in the turn in which it happened. */
  interface Owner {
    /** Tenths of a millisecond; the clock of the turn. */
    long now();

    /** Word on an attempt that is still out. */
    void attemptProgressed(InFlightAttempt inFlight, AttemptProgress progress, double level);

    /**
     * An attempt is over; told once. One that was taken in this turn ends by {@link
     * #runInNextIteration} at the soonest.
     */
    void attemptEnded(InFlightAttempt inFlight, AttemptOutcome outcome);

    /**
     * All of an attempt that is {@link InFlightAttempt#fenced} has gone out; told before anything
     * that comes of it.
     */
    void attemptWritten(InFlightAttempt inFlight);

    /** An attempt is written in this turn; until when its first byte may go out. */
    long writeDeadline(InFlightAttempt inFlight);

    /**
     * An attempt has gone out.
     *
     * @param before what {@link #writeDeadline} said
     * @param limit how long its engine was told that the client waits
     */
    void attemptSent(InFlightAttempt inFlight, long firstByteAt, long before, long limit);

    /** An attempt was not written, for the guard did not allow it. */
    void attemptBlocked(InFlightAttempt inFlight, SendVerdict verdict);

    /** Something of the next turn. */
    void runInNextIteration(Runnable task);

    /** Bytes that are kept for a client, or no longer. */
    void retainedBytesChanged(long more);

    /** What is counted and logged of attempts and connections. */
    Telemetry telemetry();

    /** Warns, at a bounded rate. */
    void warnRateLimited(String line);

    /** Begins a connection. */
    Channel connect(InetSocketAddress to, Channel.Owner owner);

    /** Connections to engines that may be open at once, by all transports together. */
    int maxConnections();

    /** How many are open or coming up now. */
    int openConnections();

    /**
     * Whether one more may be opened. At the bound the one that has been idle longest, to any
     * engine, ends for it: guards a fleet of more engines than connections, where those that are
     * idle would lock the others out.
     */
    boolean reserveConnection();

    /** How long what must not go out later may wait here for a peer that does not read. */
    long maxWriteDelay();

    /** How many engines are known. */
    int engineCount();

    /** One was dialed, or is over. */
    void connectionCountChanged(int more);
  }

  /**
   * An attempt is to go out. If there is no way to, it ends as one that never ran, in the next
   * turn.
   */
  void send(InFlightAttempt inFlight);

  /** Gives an attempt up that is out; what that proves. The state ends it. */
  AttemptOutcome abandon(InFlightAttempt inFlight);

  /** An attempt is over and is expected here no more. */
  void release(InFlightAttempt inFlight);

  /** Looks after what time brings. */
  void checkTimeouts(long connectTimeout, long idleTimeout);

  /**
   * Takes no new attempts over what is open now: that leads to a process which is not the one
   * listed.
   */
  void retireConnections();

  /**
   * Since when its connection that has been idle longest bears nothing; {@link Long#MAX_VALUE} if
   * none is idle.
   */
  default long idleSince() {
    return Long.MAX_VALUE;
  }

  /** Ends that connection. */
  default void closeIdle() {
    // Where none is idle, none is ended.
  }

  /** Whether nothing is left of it. */
  boolean isEmpty();

  /** Makes the transport of an engine. */
  @FunctionalInterface
  interface Factory {
    /**
     * @param kind the engine's kind, by its name
     */
    EngineTransport create(Owner owner, EngineAddress engineAddress, String kind);
  }
}
