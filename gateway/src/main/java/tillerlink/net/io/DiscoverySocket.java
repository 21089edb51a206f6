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
 * The datagram socket over which the discovery service is queried. Confined to the event-loop
 * thread; MINA's threads only post the received datagrams to the queue of that thread.
 */
final class DiscoverySocket {
  private final Queue<Runnable> queue;
  private final NioDatagramConnector connector;
  private InetSocketAddress address;
  private IoSession session;

  /**
   * The session that was used before the current one, or null. It stays open because an answer may
   * still be received on it.
   */
  private IoSession previousSession;

  /** The latest query that was passed on while no socket was open; it is sent once one is. */
  private byte[] queuedQuery;

  private boolean opening;

  /**
   * Creates a socket that is opened with the first query.
   *
   * @param queue the tasks of the event-loop thread
   * @param address the address of the discovery service
   * @param datagramHandler the handler of received datagrams, called on the event-loop thread
   * @param maxDatagramBytes the size of the receive buffer in bytes; a longer datagram is truncated
   */
  DiscoverySocket(
      Queue<Runnable> queue,
      ReadProcessor processor,
      InetSocketAddress address,
      Consumer<byte[]> datagramHandler,
      int maxDatagramBytes) {
    this.queue = queue;
    this.address = address;
    connector = new NioDatagramConnector(processor);
    MinaDriver.limitReads(connector.getSessionConfig(), maxDatagramBytes);
    connector.setHandler(new Receiver(datagramHandler));
  }

  /** Sends a query, at once or as soon as the socket is open. */
  void send(byte[] datagram) {
    if (session != null && session.isConnected()) {
      session.write(IoBuffer.wrap(datagram));
    } else {
      queuedQuery = datagram;
      open();
    }
  }

  private void open() {
    if (!opening) {
      InetSocketAddress target = address;
      ConnectFuture future = connector.connect(target);
      opening = true;
      future.addListener(done -> queue.add(() -> onOpened((ConnectFuture) done, target)));
    }
  }

  private void onOpened(ConnectFuture future, InetSocketAddress target) {
    opening = false;
    if (future.isConnected() && target.equals(address)) {
      session = future.getSession();
      session.write(IoBuffer.wrap(queuedQuery));
    } else if (future.isConnected()) {
      // The address of the service has changed in the meantime, so the query goes to the new one.
      future.getSession().closeNow();
      open();
    }
  }

  /** Makes the next query use a new socket, so that it is sent from another port. */
  void replace() {
    if (previousSession != null) {
      previousSession.closeNow();
    }
    previousSession = session;
    session = null;
  }

  /**
   * Sets the address to which queries are sent from now on. A change closes both sessions, so that
   * no answer from the old address is received.
   */
  void setAddress(InetSocketAddress target) {
    if (!target.equals(address)) {
      // The first call closes the previous session, the second the current one.
      replace();
      replace();
    }
    address = target;
  }

  void dispose() {
    connector.dispose();
  }

  private final class Receiver extends IoHandlerAdapter {
    private final Consumer<byte[]> datagramHandler;

    Receiver(Consumer<byte[]> datagramHandler) {
      this.datagramHandler = datagramHandler;
    }

    @Override
    public void messageReceived(IoSession receiving, Object message) {
      byte[] bytes = MinaDriver.copy(message);
      queue.add(() -> datagramHandler.accept(bytes));
    }

    @Override
    public void exceptionCaught(IoSession failed, Throwable cause) {
      // The query is lost and will be repeated; the next query opens a new session.
      failed.closeNow();
    }
  }
}
