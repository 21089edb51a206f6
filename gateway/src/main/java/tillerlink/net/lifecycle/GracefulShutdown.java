package tillerlink.net.lifecycle;

import tillerlink.net.state.Gateway;
import tillerlink.plain.Units;

/**
 * The shutdown of a gateway. It first goes on serving, for its clients are notified of it late.
 * Then nothing further is accepted: requests are refused, idle connections close, and those that
 * wait close with their answers. Time is reserved for the last answers to be written, and for
 * clients to close their side: a process that ends with bytes unread resets their connections. Used
 * on the event-loop thread; all times are tenths of a millisecond.
 */
final class GracefulShutdown {
  /** New requests are accepted for this long. */
  private static final long STILL_SERVING = 700 * Units.TENTHS_PER_MS;

  /**
   * The process is killed no sooner than the longest deadline after that, which counts as this at
   * most.
   */
  private static final long MAX_DEADLINE = 3000 * Units.TENTHS_PER_MS;

  /** What is reserved of that time for the last answers to be requested and written. */
  private static final long MARGIN = 350 * Units.TENTHS_PER_MS;

  /**
   * How long clients may take to close their side, once all is answered; and what of the margin is
   * never used.
   */
  private static final long CLIENTS_CLOSE = 200 * Units.TENTHS_PER_MS;

  private static final long UNUSED_MARGIN = 150 * Units.TENTHS_PER_MS;

  private final Gateway gateway;
  private long since = Long.MAX_VALUE;
  private long answeredAt = Long.MAX_VALUE;
  private boolean closed;
  private boolean timeUp;

  GracefulShutdown(Gateway gateway) {
    this.gateway = gateway;
  }

  /** The process was told to end; a second time changes nothing. */
  void begin(long now) {
    if (since == Long.MAX_VALUE) {
      since = now;
      gateway.drain();
    }
  }

  /** Between iterations: does what is due; whether the process may end. */
  boolean isComplete(long now) {
    if (since == Long.MAX_VALUE || now < since + STILL_SERVING) {
      return false;
    }
    long killedAt = since + STILL_SERVING + Math.min(MAX_DEADLINE, gateway.longestDeadline());
    if (!closed) {
      closed = true;
      inIteration(now, gateway::stopAccepting);
    }
    if (!timeUp && now >= killedAt - MARGIN) {
      timeUp = true;
      inIteration(now, gateway::onShutdownDeadline);
    }
    if (gateway.allAnswered()) {
      answeredAt = Math.min(answeredAt, now);
    } else {
      answeredAt = Long.MAX_VALUE;
    }
    return (answeredAt <= now && (gateway.hasNoClients() || now >= answeredAt + CLIENTS_CLOSE))
        || now >= killedAt - UNUSED_MARGIN;
  }

  private void inIteration(long now, Runnable task) {
    gateway.beginIteration(now);
    task.run();
    gateway.endIteration();
  }
}
