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
 * Sends and takes datagrams by Apache MINA, over one socket. Its thread only posts what came to the
 * queue of the thread that owns all state; of what comes faster than it is taken, the newest is
 * dropped.
 */
public final class Datagrams implements Closeable {
  /** Datagrams that were read and not yet taken. */
  private static final int WAITING_MOST = 2048;

  /** What the system holds of both ways. */
  private static final int BUFFER = 1 << 20;

  /** Is told of a datagram, in a turn. */
  @FunctionalInterface
  public interface Taker {
    /**
     * @param from the address it came from, in words for the log
     */
    void came(String from, byte[] datagram);
  }

  private final Consumer<Runnable> turns;
  private final Taker taker;
  private final InetSocketAddress own;
  private final NioDatagramAcceptor socket = new NioDatagramAcceptor();
  private final Addresses addresses = new Addresses();
  private final AtomicInteger waiting = new AtomicInteger();
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong unsent = new AtomicLong();

  /**
   * Listens from now on.
   *
   * @param own host:port, written out
   * @param most bytes of a datagram; a longer one comes one byte longer than this
   * @param turns what comes is handed to this
   */
  public Datagrams(String own, int most, Consumer<Runnable> turns, Taker taker) throws IOException {
    this.turns = turns;
    this.taker = taker;
    this.own = Addresses.parse(own);
    if (this.own == null) {
      throw new IOException("not an address with a port: " + own);
    }
    socket.getSessionConfig().setReadBufferSize(most + 1);
    socket.getSessionConfig().setReceiveBufferSize(BUFFER);
    socket.getSessionConfig().setSendBufferSize(BUFFER);
    socket.setSessionRecycler(new Recent());
    socket.setHandler(new Posting());
    try {
      socket.bind(this.own);
    } catch (IOException | RuntimeException e) {
      socket.dispose();
      Throwable cause = e.getCause() == null ? e : e.getCause();
      throw new IOException(
          "cannot listen for other gateways on " + own + ": " + cause.getMessage(), e);
    }
  }

  /** It goes out now, or is lost; nobody waits, and nobody says so. False if that is no address. */
  public boolean send(String to, byte[] datagram) {
    InetSocketAddress address = addresses.of(to);
    if (address == null || !socket.isActive()) {
      return false;
    }
    try {
      socket.newSession(address, own).write(IoBuffer.wrap(datagram));
    } catch (RuntimeException e) {
      // MINA's own thread makes a session for whoever a datagram came from, and lets it be found
      // before it is
      // ready: what is written in that moment is lost, like any that is lost on the way.
      unsent.incrementAndGet();
    }
    return true;
  }

  /** Datagrams that came faster than they were taken, and were dropped. */
  public long dropped() {
    return dropped.get();
  }

  /** Datagrams that could not be handed to the socket. */
  public long unsent() {
    return unsent.get();
  }

  @Override
  public void close() {
    socket.dispose();
  }

  private final class Posting extends IoHandlerAdapter {
    @Override
    public void messageReceived(IoSession session, Object message) {
      if (waiting.incrementAndGet() > WAITING_MOST) {
        waiting.decrementAndGet();
        dropped.incrementAndGet();
        return;
      }
      IoBuffer buffer = (IoBuffer) message;
      byte[] bytes = new byte[buffer.remaining()];
      buffer.get(bytes);
      SocketAddress from = session.getRemoteAddress();
      turns.accept(
          () -> {
            waiting.decrementAndGet();
            taker.came(from.toString().replaceFirst("^.*/", ""), bytes);
          });
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      // One that could not be sent is lost, like any that is lost on the way.
    }
  }
}
