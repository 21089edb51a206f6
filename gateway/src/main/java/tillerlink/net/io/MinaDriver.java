package tillerlink.net.io;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionConfig;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import tillerlink.net.state.Channel;
import tillerlink.net.state.DisconnectReason;
import tillerlink.net.state.NetworkDriver;
import tillerlink.net.state.RetainedBytes;

/**
 * A network driver that uses Apache MINA. Its methods are called on the event-loop thread; MINA's
 * threads only post events to the queue of that thread.
 */
public final class MinaDriver implements NetworkDriver, Closeable {
  private static final int MAX_READ_BYTES = 8192;

  /**
   * The size of the buffer for a datagram, in bytes. No UDP datagram is longer; one longer than the
   * buffer would be truncated, so that it could not be used.
   */
  private static final int MAX_DATAGRAM_BYTES = 65_535;

  private static final int LISTEN_BACKLOG = 256;

  /**
   * The least number of connections accepted beyond the limit on clients, for connections that are
   * just being accepted or closed.
   */
  private static final int MIN_SPARE_CONNECTIONS = 8;

  /** The limit on clients is divided by this to get the number of such connections. */
  private static final int SPARE_CONNECTIONS_DIVISOR = 10;

  private final Queue<Runnable> queue;
  private final RetainedBytes retained;
  private final ReadProcessor processor;
  private final NioSocketAcceptor acceptor;
  private final NioSocketConnector connector;
  private final DiscoverySocket discovery;

  /** The operations of this iteration, which {@link #flush} performs. */
  private final ArrayDeque<Runnable> queuedOperations = new ArrayDeque<>();

  private final LingeringSessions lingering;
  private final MinaChannel.Resources resources;

  /**
   * Creates a driver; clients are accepted after {@link #listen}.
   *
   * @param queue the tasks of the event-loop thread
   * @param discoveryAddress the address of the discovery service
   * @param datagramHandler the handler of datagrams from the discovery service
   * @param ownerFactory creates the owner of an accepted client connection
   * @param maxClients the limit on client connections
   * @param retained counts the bytes of clients that were read and not processed yet
   * @param clock returns the gateway's time in tenths of a millisecond; callable on any thread
   */
  public MinaDriver(
      Queue<Runnable> queue,
      InetSocketAddress discoveryAddress,
      Consumer<byte[]> datagramHandler,
      Function<Channel, Channel.Owner> ownerFactory,
      int maxClients,
      RetainedBytes retained,
      LongSupplier clock) {
    this.queue = queue;
    this.retained = retained;
    processor = new ReadProcessor(clock);
    lingering = new LingeringSessions(processor);
    resources = new MinaChannel.Resources(queue, queuedOperations, processor, lingering);
    acceptor =
        new ConnectionLimiter(
            processor,
            maxClients + Math.max(MIN_SPARE_CONNECTIONS, maxClients / SPARE_CONNECTIONS_DIVISOR),
            queue::add);
    acceptor.setReuseAddress(true);
    acceptor.setBacklog(LISTEN_BACKLOG);
    acceptor.getSessionConfig().setTcpNoDelay(true);
    limitReads(acceptor.getSessionConfig(), MAX_READ_BYTES);
    acceptor.setHandler(new AcceptedEvents(ownerFactory));
    connector = new NioSocketConnector(processor);
    connector.getSessionConfig().setTcpNoDelay(true);
    limitReads(connector.getSessionConfig(), MAX_READ_BYTES);
    connector.setHandler(new SessionEvents());
    discovery =
        new DiscoverySocket(
            queue, processor, discoveryAddress, datagramHandler, MAX_DATAGRAM_BYTES);
  }

  /**
   * Limits the number of bytes of one read.
   *
   * @param limit the limit in bytes, which is also the initial size of the read buffer
   */
  static void limitReads(IoSessionConfig config, int limit) {
    config.setMaxReadBufferSize(limit);
    config.setReadBufferSize(limit);
    config.setMinReadBufferSize(Math.min(2048, limit));
  }

  /**
   * Accepts clients from now on.
   *
   * @throws IOException if the address cannot be bound; the message states the reason
   */
  public void listen(InetSocketAddress address) throws IOException {
    try {
      acceptor.bind(address);
    } catch (IOException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      throw new IOException("cannot listen on " + address + ": " + cause.getMessage(), e);
    }
  }

  @Override
  public Channel connect(InetSocketAddress address, Channel.Owner owner) {
    MinaChannel channel = MinaChannel.outgoing(resources, owner);
    queuedOperations.add(() -> dial(address, channel));
    return channel;
  }

  private void dial(InetSocketAddress address, MinaChannel channel) {
    ConnectFuture connectFuture =
        connector.connect(
            address, (session, connecting) -> SessionEvents.setChannel(session, channel));
    channel.onDialed(connectFuture);
    connectFuture.addListener(
        done -> {
          if (connectFuture.getException() != null) {
            channel.post(owner -> owner.onClosed(DisconnectReason.REFUSED));
          }
        });
  }

  @Override
  public void runAfterPendingReads(Runnable callback) {
    processor.runAfterReadPass(() -> queue.add(callback));
  }

  @Override
  public void sendDiscoveryQuery(byte[] datagram) {
    discovery.send(datagram);
  }

  @Override
  public void replaceDiscoverySocket() {
    discovery.replace();
  }

  /**
   * Sets the address to which discovery queries are sent from now on; called within an iteration.
   */
  public void setDiscoveryAddress(InetSocketAddress address) {
    discovery.setAddress(address);
  }

  /** Closes all sockets and stops MINA's threads. */
  @Override
  public void close() {
    acceptor.dispose();
    connector.dispose();
    discovery.dispose();
    processor.dispose();
  }

  @Override
  public void flush() {
    for (Runnable operation = queuedOperations.poll();
        operation != null;
        operation = queuedOperations.poll()) {
      operation.run();
    }
    lingering.closeOverdue();
  }

  /** Returns a copy of the bytes that MINA received. */
  static byte[] copy(Object message) {
    IoBuffer buffer = (IoBuffer) message;
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    return bytes;
  }

  /** Creates owners of accepted connections when they open. */
  private final class AcceptedEvents extends SessionEvents {
    private final Function<Channel, Channel.Owner> ownerFactory;

    AcceptedEvents(Function<Channel, Channel.Owner> ownerFactory) {
      this.ownerFactory = ownerFactory;
    }

    @Override
    public void sessionOpened(IoSession session) {
      MinaChannel channel = MinaChannel.accepted(resources, session, retained);
      setChannel(session, channel);
      queue.add(() -> channel.createOwner(ownerFactory));
    }
  }
}
