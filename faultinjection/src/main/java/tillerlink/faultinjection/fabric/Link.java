package tillerlink.faultinjection.fabric;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.DatagramChannel;

/**
 * The way of datagrams from one process to another: a socket of its own, at which the first reaches
 * the second.
 */
final class Link {
  /** What waits on a slow way beyond this is dropped, as the queue of any router would: 2 s. */
  private static final long QUEUE_MOST = 20_000;

  final String from;
  final String to;
  final DatagramChannel channel;
  volatile Fault fault = Fault.NONE;
  private final long seed;
  private long ordinal;
  private long freeAt;

  Link(long seed, String from, String to, DatagramChannel channel) {
    this.seed = seed;
    this.from = from;
    this.to = to;
    this.channel = channel;
  }

  /**
   * What becomes of the next datagram under what holds now; null if nothing comes of it, and why is
   * counted.
   */
  LinkFault next(long now, int length, Tally tally) {
    Fault holds = fault;
    LinkFault fate = LinkFault.of(seed, from, to, ordinal++, holds);
    Tally.What dropped =
        holds.cut()
            ? Tally.What.CUT
            : length > holds.maxBytes()
                ? Tally.What.TOO_LONG
                : fate.lost() ? Tally.What.LOST : null;
    if (dropped != null) {
      tally.add(dropped);
      return null;
    }
    if (holds.rate() > 0) {
      if (freeAt - now > QUEUE_MOST) {
        tally.add(Tally.What.TOO_MUCH);
        return null;
      }
      freeAt = Math.max(now, freeAt) + length * 10_000L / holds.rate();
      return new LinkFault(
          false, fate.late() + freeAt - now, fate.again() < 0 ? -1 : fate.again() + freeAt - now);
    }
    return fate;
  }

  static int port(DatagramChannel channel) {
    try {
      SocketAddress at = channel.getLocalAddress();
      return ((InetSocketAddress) at).getPort();
    } catch (java.io.IOException e) {
      throw new IllegalStateException("the fabric was closed", e);
    }
  }
}
