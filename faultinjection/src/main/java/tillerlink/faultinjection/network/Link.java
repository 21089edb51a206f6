package tillerlink.faultinjection.network;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.DatagramChannel;

/** The link from one process to another: the socket to which the first sends for the second. */
final class Link {
  /**
   * The greatest queueing time on a link with limited rate, in tenths of a millisecond. Datagrams
   * beyond it are dropped, as routers do.
   */
  private static final long MAX_QUEUE_TIME = 20_000;

  private static final long TICKS_PER_SECOND = 10_000;

  final String from;
  final String to;
  final DatagramChannel channel;
  volatile LinkBehaviour behaviour = LinkBehaviour.NONE;
  private final long seed;
  private long datagrams;

  /** The time at which the last datagram leaves the queue, in tenths of a millisecond. */
  private long freeAt;

  Link(long seed, String from, String to, DatagramChannel channel) {
    this.seed = seed;
    this.from = from;
    this.to = to;
    this.channel = channel;
  }

  /**
   * Decides what happens to the next datagram, and counts the reason if it is dropped.
   *
   * @param now the current time, in tenths of a millisecond
   * @param length the length of the datagram, in bytes
   * @return the outcome; null if the datagram is dropped
   */
  DatagramOutcome next(long now, int length, NetworkCounters counters) {
    LinkBehaviour current = behaviour;
    DatagramOutcome outcome = DatagramOutcome.of(seed, from, to, datagrams++, current);
    NetworkCounters.Counter dropped = dropReason(current, length, outcome);
    if (dropped != null) {
      counters.add(dropped);
      return null;
    }
    if (current.rate() > 0) {
      if (freeAt - now > MAX_QUEUE_TIME) {
        counters.add(NetworkCounters.Counter.TOO_MUCH);
        return null;
      }
      freeAt = Math.max(now, freeAt) + length * TICKS_PER_SECOND / current.rate();
      return new DatagramOutcome(
          false,
          outcome.delay() + freeAt - now,
          outcome.repeatDelay() < 0 ? -1 : outcome.repeatDelay() + freeAt - now);
    }
    return outcome;
  }

  private static NetworkCounters.Counter dropReason(
      LinkBehaviour current, int length, DatagramOutcome outcome) {
    if (current.cut()) {
      return NetworkCounters.Counter.CUT;
    }
    if (length > current.maxBytes()) {
      return NetworkCounters.Counter.TOO_LONG;
    }
    return outcome.lost() ? NetworkCounters.Counter.LOST : null;
  }

  static int port(DatagramChannel channel) {
    try {
      SocketAddress address = channel.getLocalAddress();
      return ((InetSocketAddress) address).getPort();
    } catch (IOException e) {
      throw new IllegalStateException("the socket of the link is closed", e);
    }
  }
}
