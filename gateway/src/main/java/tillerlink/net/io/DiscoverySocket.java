package tillerlink.net.io;

import java.net.InetSocketAddress;
import java.util.Queue;
import java.util.function.Consumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioDatagramConnector;

/**
 * The datagram socket over which the discovery service is queried. Owned by the event-loop thread;
 * MINA's threads only post what came to its queue.
 */
final class DiscoverySocket {
  private final Queue<Runnable> queue;
  private final NioDatagramConnector connector;
  private InetSocketAddress address;
  private IoSession session;

  /** Used before that one; an answer may still come there. */
  private IoSession previousSession;

  /** The query that is sent once the socket is open, or null. */
  private byte[] query;

  private boolean opening;

  /**
   * @param datagrams takes what was received, on the event-loop thread
   * @param maxDatagram the size of the buffer into which one is read
   */
  DiscoverySocket(
      Queue<Runnable> queue,
      ReadProcessor processor,
      InetSocketAddress address,
      Consumer<byte[]> datagrams,
      int maxDatagram) {
    this.queue = queue;
    this.address = address;
    connector = new NioDatagramConnector(processor);
    MinaDriver.limitReads(connector.getSessionConfig(), maxDatagram);
    connector.setHandler(new Receiver(datagrams));
  }

  void send(byte[] datagram) {
    if (session != null && session.isConnected()) {
      session.write(IoBuffer.wrap(datagram));
    } else {
      query = datagram;
      open();
    }
  }

  private void open() {
    if (!opening) {
      InetSocketAddress to = address;
      ConnectFuture future = connector.connect(to);
      opening = true;
      future.addListener(done -> queue.add(() -> onOpened((ConnectFuture) done, to)));
    }
  }

  private void onOpened(ConnectFuture future, InetSocketAddress to) {
    opening = false;
    if (future.isConnected() && to.equals(address)) {
      session = future.getSession();
      session.write(IoBuffer.wrap(query));
    } else if (future.isConnected()) {
      // The service moved meanwhile: the query is for where it is now.
      future.getSession().closeNow();
      open();
    }
  }

  /** The next query is sent over a new socket, so from another port. */
  void replace() {
    if (previousSession != null) {
      previousSession.closeNow();
    }
    previousSession = session;
    session = null;
  }

  /** From now on queries are sent to that address. */
  void moveTo(InetSocketAddress to) {
    if (!to.equals(address)) {
      replace();
      replace();
    }
    address = to;
  }

  void dispose() {
    connector.dispose();
  }

  private final class Receiver extends IoHandlerAdapter {
    private final Consumer<byte[]> datagrams;

    Receiver(Consumer<byte[]> datagrams) {
      this.datagrams = datagrams;
    }

    @Override
    public void messageReceived(IoSession receiving, Object message) {
      byte[] bytes = MinaDriver.copy(message);
      queue.add(() -> datagrams.accept(bytes));
    }

    @Override
    public void exceptionCaught(IoSession failed, Throwable cause) {
      // A lost query is repeated; a session that can't go on is replaced by the next query.
      failed.closeNow();
    }
  }
}
