package tillerlink.net.state;

import java.net.InetSocketAddress;

/** Reads and writes for the state; never blocks it. */
public interface NetworkDriver {
  /** Begins a connection; its owner hears of it later. */
  Channel connect(InetSocketAddress to, Channel.Owner owner);

  /** Sends a datagram to the discovery service. */
  void sendDiscoveryQuery(byte[] datagram);

  /**
   * Nothing is heard on the way on which it is asked: the next question takes another, as from
   * another port.
   */
  default void replaceDiscoverySocket() {
    // Where there is one way only, it is asked on that.
  }

  /**
   * Calls back, in this turn or a later one, once all that could be read of any connection when
   * this was asked has been told to its owner.
   */
  default void runAfterPendingReads(Runnable then) {
    then.run();
  }

  /** Hands out what the turn wrote. */
  void flush();
}
