package tillerlink.net.state;

import java.net.InetSocketAddress;

/**
 * The driver through which the gateway's state uses the network. Called on the event-loop thread;
 * no method blocks, and all callbacks run on that thread.
 */
public interface NetworkDriver {
  /** Starts to open a connection; its owner is notified of the result in a later iteration. */
  Channel connect(InetSocketAddress address, Channel.Owner owner);

  /** Sends a datagram to the discovery service. */
  void sendDiscoveryQuery(byte[] datagram);

  /**
   * Replaces the socket over which the discovery service is queried, because nothing is received on
   * it. The next query is sent from another port.
   */
  default void replaceDiscoverySocket() {
    // By default, a driver has a single way to the discovery service and continues to use it.
  }

  /**
   * Runs a callback, in this iteration or a later one, once all bytes that were readable on any
   * connection at the time of this call have been passed to their owners.
   */
  default void runAfterPendingReads(Runnable callback) {
    callback.run();
  }

  /** Performs the writes and the other operations that were queued in this iteration. */
  void flush();
}
