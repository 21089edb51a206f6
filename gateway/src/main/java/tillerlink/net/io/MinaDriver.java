package tillerlink.net.io;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionConfig;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import tillerlink.net.state.Channel;
import tillerlink.net.state.DisconnectReason;
import tillerlink.net.state.NetworkDriver;

/**
 * Reads and writes by Apache MINA. Its methods are called on the event-loop thread; MINA's threads
 * only post what came to that thread's queue.
 */
public final class MinaDriver implements NetworkDriver, Closeable {
  private static final int MAX_READ = 8192;

  /**
   * No datagram is longer; one that is longer than the buffer it is read into would come cut, and
   * be of no use.
   */
  private static final int MAX_DATAGRAM = 65_535;

  private static final int BACKLOG = 256;
  private static final String CHANNEL = "channel";

  /** Room beyond the bound of clients, for those that are just being accepted or closed. */
  private static final int MIN_NEWCOMERS = 8;

  private static final int NEWCOMERS_SHARE = 10;

  /**
   * Pieces read from a connection and not yet processed; the other events are bounded by what was
   * written.
   */
  private static final int MAX_UNREAD = 2;

  /** How long what a peer says is read after we have ended. */
  private static final long LINGER_NANOS = 1_000_000_000;

  /** A connection on which we have ended and the peer may not have, and how long it may go on. */
  private record HalfClosed(IoSession session, long until) {}

  private final Queue<HalfClosed> halfClosed = new ConcurrentLinkedQueue<>();
  private final Queue<Runnable> queue;
  private final ReadProcessor processor;
  private final NioSocketAcceptor acceptor;
  private final NioSocketConnector connector;
  private final DiscoverySocket discovery;
  private final ArrayDeque<Runnable> pending = new ArrayDeque<>();

  /**
   * @param clock the gateway's, in tenths of a millisecond; for any thread
   */
  public MinaDriver(
      Queue<Runnable> queue,
      InetSocketAddress discoveryAddress,
      Consumer<byte[]> datagrams,
      Function<Channel, Channel.Owner> accepted,
      int maxClients,
      LongSupplier clock) {
    this.queue = queue;
    processor = new ReadProcessor(clock);
    acceptor =
        new ConnectionLimiter(
            processor, maxClients + Math.max(MIN_NEWCOMERS, maxClients / NEWCOMERS_SHARE));
    acceptor.setReuseAddress(true);
    acceptor.setBacklog(BACKLOG);
    acceptor.getSessionConfig().setTcpNoDelay(true);
    limitReads(acceptor.getSessionConfig(), MAX_READ);
    acceptor.setHandler(new AcceptedPoster(accepted));
    connector = new NioSocketConnector(processor);
    connector.getSessionConfig().setTcpNoDelay(true);
    limitReads(connector.getSessionConfig(), MAX_READ);
    connector.setHandler(new EventPoster());
    discovery = new DiscoverySocket(queue, processor, discoveryAddress, datagrams, MAX_DATAGRAM);
  }

  static void limitReads(IoSessionConfig config, int limit) {
    config.setMaxReadBufferSize(limit);
    config.setReadBufferSize(limit);
    config.setMinReadBufferSize(Math.min(2048, limit));
  }

  /**
   * Accepts clients from now on.
   *
   * @throws IOException if that address is not to be had; the message says why
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
  public Channel connect(InetSocketAddress to, Channel.Owner owner) {
    MinaChannel channel = new MinaChannel();
    channel.owner = owner;
    pending.add(
        () -> {
          ConnectFuture future =
              connector.connect(
                  to, (session, connecting) -> session.setAttribute(CHANNEL, channel));
          channel.future = future;
          future.addListener(
              done -> {
                if (future.getException() != null) {
                  queue.add(() -> channel.owner.onClosed(DisconnectReason.REFUSED));
                }
              });
        });
    return channel;
  }

  @Override
  public void runAfterPendingReads(Runnable then) {
    processor.afterPass(() -> queue.add(then));
  }

  @Override
  public void sendDiscoveryQuery(byte[] datagram) {
    discovery.send(datagram);
  }

  @Override
  public void replaceDiscoverySocket() {
    discovery.replace();
  }

  /** From now on discovery queries are sent to that address; called within an iteration. */
  public void setDiscoveryAddress(InetSocketAddress address) {
    discovery.moveTo(address);
  }

  /** Nothing is read or written any more. */
  @Override
  public void close() {
    acceptor.dispose();
    connector.dispose();
    discovery.dispose();
    processor.dispose();
  }

  @Override
  public void flush() {
    for (Runnable write = pending.poll(); write != null; write = pending.poll()) {
      write.run();
    }
    long now = System.nanoTime();
    while (!halfClosed.isEmpty() && now - halfClosed.peek().until >= 0) {
      halfClosed.poll().session.closeNow();
    }
  }

  static byte[] copy(Object message) {
    IoBuffer buffer = (IoBuffer) message;
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    return bytes;
  }

  private final class MinaChannel implements Channel {
    private Owner owner;
    private ConnectFuture future;
    private final AtomicInteger unread = new AtomicInteger();
    private volatile IoSession session;
    private volatile boolean paused;

    /** The last that was written, or null. */
    private WriteFuture last;

    @Override
    public void write(byte[] bytes) {
      pending.add(() -> last = session.write(IoBuffer.wrap(bytes)));
    }

    @Override
    public void writeUntil(byte[] bytes, long before) {
      pending.add(() -> last = session.write(new DeadlineWrite(bytes, before)));
    }

    @Override
    public void close() {
      pending.add(() -> end(false));
    }

    @Override
    public void abort() {
      pending.add(() -> end(true));
    }

    @Override
    public void pauseReading(boolean pause) {
      paused = pause;
      regulate();
    }

    /** On MINA's thread: a piece was read. */
    private void read(byte[] bytes) {
      unread.incrementAndGet();
      regulate();
      queue.add(
          () -> {
            if (unread.getAndDecrement() == MAX_UNREAD) {
              regulate();
            }
            owner.onBytes(bytes);
          });
    }

    /**
     * Guards the memory, and the other connections: one of which pieces wait to be taken is not
     * read further, and none waits for it.
     */
    private void regulate() {
      processor.run(
          () -> {
            boolean stop = paused || unread.get() >= MAX_UNREAD;
            if (stop && !session.isReadSuspended()) {
              session.suspendRead();
            } else if (!stop && session.isReadSuspended()) {
              session.resumeRead();
            }
          });
    }

    /**
     * Unless it is to end now, only what we say ends, once all of it has gone out: closing over
     * bytes that are still unread would reset the connection and take the last answer with it. What
     * the peer says is read until it ends as well, for a while.
     */
    private void end(boolean now) {
      if (session != null) {
        if (now) {
          session.closeNow();
        } else if (last == null) {
          endOutput(session);
        } else {
          last.addListener(done -> endOutput(session));
        }
      } else if (future != null) {
        future.cancel();
        future.addListener(
            done -> {
              if (future.isConnected()) {
                future.getSession().closeNow();
              }
            });
      }
    }
  }

  /** On any thread: what was written is out. */
  private void endOutput(IoSession session) {
    processor.run(() -> processor.endOutput(session));
    halfClosed.add(new HalfClosed(session, System.nanoTime() + LINGER_NANOS));
  }

  /** Posts what happens on a connection. */
  private class EventPoster extends IoHandlerAdapter {
    private static final String CAUSE = "cause";

    @Override
    public void sessionOpened(IoSession session) {
      MinaChannel channel = channel(session);
      channel.session = session;
      queue.add(() -> channel.owner.onOpened());
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      channel(session).read(copy(message));
    }

    @Override
    public void messageSent(IoSession session, Object message) {
      MinaChannel channel = channel(session);
      if (!(message instanceof DeadlineWrite timed)) {
        queue.add(() -> channel.owner.onWritten());
      } else if (timed.expired()) {
        queue.add(() -> channel.owner.onWriteExpired());
      } else {
        queue.add(() -> channel.owner.onWritten(timed.firstByteAt()));
      }
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      session.setAttribute(CAUSE, cause);
      session.closeNow();
    }

    @Override
    public void sessionClosed(IoSession session) {
      MinaChannel channel = channel(session);
      DisconnectReason how =
          session.containsAttribute(CAUSE)
              ? DisconnectReason.RESET
              : DisconnectReason.CLOSED_BY_PEER;
      queue.add(() -> channel.owner.onClosed(how));
    }

    MinaChannel channel(IoSession session) {
      return (MinaChannel) session.getAttribute(CHANNEL);
    }
  }

  private final class AcceptedPoster extends EventPoster {
    private final Function<Channel, Channel.Owner> accepted;

    AcceptedPoster(Function<Channel, Channel.Owner> accepted) {
      this.accepted = accepted;
    }

    @Override
    public void sessionOpened(IoSession session) {
      MinaChannel channel = new MinaChannel();
      channel.session = session;
      session.setAttribute(CHANNEL, channel);
      queue.add(() -> channel.owner = accepted.apply(channel));
    }
  }
}
