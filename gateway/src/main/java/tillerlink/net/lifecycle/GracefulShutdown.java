package tillerlink.net.lifecycle;

import tillerlink.net.state.Gateway;
import tillerlink.plain.Units;

/**
 * The graceful shutdown of a gateway. The gateway first continues to serve, because its clients
 * learn of the shutdown late. It then accepts nothing further: new requests are refused, idle
 * connections are closed, and connections with a pending request are closed after its response.
 * Time is reserved for writing the last responses and for clients to close their side, because a
 * process that exits with unread bytes resets its connections. Confined to the event-loop thread;
 * all times are tenths of a millisecond.
 */
final class GracefulShutdown {
  /** The time for which new requests are still accepted. */
  private static final long STILL_SERVING = 700 * Units.TENTHS_PER_MS;

  /**
   * The upper bound on the wait for pending requests. The process is expected to be killed no
   * earlier than the longest deadline of a request class after {@link #STILL_SERVING} has passed; a
   * longest deadline above this bound counts as this bound.
   */
  private static final long MAX_DEADLINE = 3000 * Units.TENTHS_PER_MS;

  /**
   * The part of the time before the expected kill that is reserved for ending the requests that are
   * still pending and writing their responses.
   */
  private static final long MARGIN = 350 * Units.TENTHS_PER_MS;

  /** The time that clients have to close their side after the last response. */
  private static final long CLIENTS_CLOSE = 200 * Units.TENTHS_PER_MS;

  /** The part of {@link #MARGIN} that is never used: the shutdown completes before it begins. */
  private static final long UNUSED_MARGIN = 150 * Units.TENTHS_PER_MS;

  private final Gateway gateway;
  private long beganAt = Long.MAX_VALUE;
  private long answeredAt = Long.MAX_VALUE;
  private boolean stoppedAccepting;
  private boolean requestsEnded;

  GracefulShutdown(Gateway gateway) {
    this.gateway = gateway;
  }

  /** Begins the shutdown. Further calls have no effect. */
  void begin(long now) {
    if (beganAt == Long.MAX_VALUE) {
      beganAt = now;
      gateway.drain();
    }
  }

  /**
   * Performs the steps of the shutdown that are due. Called between iterations.
   *
   * @return whether the process may exit
   */
  boolean isComplete(long now) {
    if (beganAt == Long.MAX_VALUE || now < beganAt + STILL_SERVING) {
      return false;
    }
    long killedAt = beganAt + STILL_SERVING + Math.min(MAX_DEADLINE, gateway.longestDeadline());
    if (!stoppedAccepting) {
      stoppedAccepting = true;
      runInIteration(now, gateway::stopAccepting);
    }
    if (!requestsEnded && now >= killedAt - MARGIN) {
      requestsEnded = true;
      runInIteration(now, gateway::onShutdownDeadline);
    }
    if (gateway.allAnswered()) {
      answeredAt = Math.min(answeredAt, now);
    } else {
      answeredAt = Long.MAX_VALUE;
    }
    return (answeredAt <= now && (gateway.hasNoClients() || now >= answeredAt + CLIENTS_CLOSE))
        || now >= killedAt - UNUSED_MARGIN;
  }

  private void runInIteration(long now, Runnable task) {
    gateway.beginIteration(now);
    task.run();
    gateway.endIteration();
  }
}
