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
 * A UDP socket that sends and receives datagrams with Apache MINA.
 *
 * <p>MINA's thread, which this object owns until it is closed, only posts received datagrams to the
 * event loop. If the number of posted datagrams reaches its limit, newly received ones are dropped.
 * All other methods are called by the event loop's thread, except the counters, which any thread
 * may read.
 */
public final class Datagrams implements Closeable {
  /** The maximum number of received datagrams that wait for the event loop. */
  private static final int MAX_QUEUED = 2048;

  /** The size of the operating system's socket buffer in each direction. */
  private static final int SOCKET_BUFFER_BYTES = 1 << 20;

  /** Handles received datagrams on the event loop's thread. */
  @FunctionalInterface
  public interface Receiver {
    /**
     * Handles a received datagram.
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
   * Binds the socket and starts to receive datagrams.
   *
   * @param localAddress the address to bind as host:port, the host as an IP address
   * @param maxBytes the maximum size of a datagram; a longer one is truncated to one byte more than
   *     this, so that the receiver can detect it
   * @param eventLoop runs tasks on the event loop's thread
   * @throws IOException if the address is malformed or can't be bound; the message is shown to the
   *     operator
   */
  public Datagrams(
      String localAddress, int maxBytes, Consumer<Runnable> eventLoop, Receiver receiver)
      throws IOException {
    this.eventLoop = eventLoop;
    this.receiver = receiver;
    this.localAddress = Addresses.parse(localAddress);
    if (this.localAddress == null) {
      throw new IOException("expected an IP address and port (host:port), got " + localAddress);
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
   * Sends a datagram without waiting. It may be lost without notification.
   *
   * @param to the destination as host:port, the host as an IP address
   * @return false if the address is malformed or the socket is closed
   */
  public boolean send(String to, byte[] datagram) {
    InetSocketAddress address = addresses.of(to);
    if (address == null || !socket.isActive()) {
      return false;
    }
    try {
      socket.newSession(address, localAddress).write(IoBuffer.wrap(datagram));
    } catch (RuntimeException e) {
      // MINA's own thread creates a session for the sender of a received datagram and publishes it
      // before it is ready. A write to it at that moment fails, and the datagram is lost, as it
      // could
      // be in the network.
      unsent.incrementAndGet();
    }
    return true;
  }

  /**
   * Returns the number of received datagrams that were dropped because too many were queued. May be
   * called by any thread.
   */
  public long dropped() {
    return dropped.get();
  }

  /**
   * Returns the number of datagrams that could not be passed to the socket. May be called by any
   * thread.
   */
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
      // A datagram that could not be sent is lost, as it could be in the network.
    }
  }
}
