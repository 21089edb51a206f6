package tillerlink.net.state;

import java.net.InetSocketAddress;

/**
 * The network as the gateway's state uses it. Called on the event-loop thread; it never blocks, and
 * calls back on that thread.
 */
public interface NetworkDriver {
  /** Opens a connection; its owner is notified later. */
  Channel connect(InetSocketAddress to, Channel.Owner owner);

  /** Sends a datagram to the discovery service. */
  void sendDiscoveryQuery(byte[] datagram);

  /**
   * Nothing is received on the socket over which the discovery service is queried: the next query
   * takes another, so from another port.
   */
  default void replaceDiscoverySocket() {
    // Where there is only one way, that is used.
  }

  /**
   * Calls back, in this iteration or a later one, once all that could be read of any connection
   * when this was called has been passed to its owner.
   */
  default void runAfterPendingReads(Runnable then) {
    then.run();
  }

  /** Writes what was written to channels in this iteration. */
  void flush();
}
