package tillerlink.peering.io;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;

/**
 * Sends and receives UDP datagrams over one socket, by Apache MINA.
 *
 * <p>MINA's thread, which this object owns until it is closed, only posts received datagrams to the
 * event loop; beyond a bound of posted ones the newest are dropped. Everything else is called by
 * the event loop's thread, but for the counters.
 */
public final class Datagrams implements Closeable {
  /** Datagrams that were received and not yet taken by the event loop. */
  private static final int MAX_QUEUED = 2048;

  /** Bytes that the operating system buffers in each direction. */
  private static final int SOCKET_BUFFER_BYTES = 1 << 20;

  /** Takes received datagrams, on the event loop's thread. */
  @FunctionalInterface
  public interface Receiver {
    /**
     * Takes one.
     *
     * @param from the sender's address as host:port
     */
    void onDatagram(String from, byte[] datagram);
  }

  private final Consumer<Runnable> eventLoop;
  private final Receiver receiver;
  private final InetSocketAddress localAddress;
  private final NioDatagramAcceptor socket = new NioDatagramAcceptor();
  private final Addresses addresses = new Addresses();
  private final AtomicInteger queued = new AtomicInteger();
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong unsent = new AtomicLong();

  /**
   * Binds the socket; datagrams are received from then on.
   *
   * @param localAddress host:port, the host as an IP address
   * @param maxBytes of a datagram; a longer one is received cut to one byte more than this
   * @param eventLoop runs tasks on the event loop's thread
   * @throws IOException if the address is malformed or can't be bound, in words for the operator
   */
  public Datagrams(
      String localAddress, int maxBytes, Consumer<Runnable> eventLoop, Receiver receiver)
      throws IOException {
    this.eventLoop = eventLoop;
    this.receiver = receiver;
    this.localAddress = Addresses.parse(localAddress);
    if (this.localAddress == null) {
      throw new IOException("not an address with a port: " + localAddress);
    }
    socket.getSessionConfig().setReadBufferSize(maxBytes + 1);
    socket.getSessionConfig().setReceiveBufferSize(SOCKET_BUFFER_BYTES);
    socket.getSessionConfig().setSendBufferSize(SOCKET_BUFFER_BYTES);
    socket.setSessionRecycler(new RecentSessions());
    socket.setHandler(new PostingHandler());
    try {
      socket.bind(this.localAddress);
    } catch (IOException | RuntimeException e) {
      socket.dispose();
      Throwable cause = e.getCause() == null ? e : e.getCause();
      throw new IOException(
          "cannot listen for other gateways on " + localAddress + ": " + cause.getMessage(), e);
    }
  }

  /**
   * Sends a datagram without waiting; it may be lost, and nobody is notified.
   *
   * @param to host:port, the host as an IP address
   * @return false if that is no address, or the socket is closed
   */
  public boolean send(String to, byte[] datagram) {
    InetSocketAddress address = addresses.of(to);
    if (address == null || !socket.isActive()) {
      return false;
    }
    try {
      socket.newSession(address, localAddress).write(IoBuffer.wrap(datagram));
    } catch (RuntimeException e) {
      // MINA's own thread makes a session for the sender of a received datagram, and publishes it
      // before it is ready: what is written in that moment is lost, like any lost on the way.
      unsent.incrementAndGet();
    }
    return true;
  }

  /** Received datagrams that were dropped because too many were queued. For any thread. */
  public long dropped() {
    return dropped.get();
  }

  /** Datagrams that could not be handed to the socket. For any thread. */
  public long unsent() {
    return unsent.get();
  }

  @Override
  public void close() {
    socket.dispose();
  }

  private final class PostingHandler extends IoHandlerAdapter {
    @Override
    public void messageReceived(IoSession session, Object message) {
      if (queued.incrementAndGet() > MAX_QUEUED) {
        queued.decrementAndGet();
        dropped.incrementAndGet();
        return;
      }
      IoBuffer buffer = (IoBuffer) message;
      byte[] bytes = new byte[buffer.remaining()];
      buffer.get(bytes);
      SocketAddress from = session.getRemoteAddress();
      eventLoop.accept(
          () -> {
            queued.decrementAndGet();
            receiver.onDatagram(from.toString().replaceFirst("^.*/", ""), bytes);
          });
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      // A datagram that could not be sent is lost, like any that is lost on the way.
    }
  }
}
