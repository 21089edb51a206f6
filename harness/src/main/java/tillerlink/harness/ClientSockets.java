package tillerlink.harness;

import java.io.Closeable;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import tillerlink.replay.ClientTransport;

/** A client transport that connects simulated clients to gateway processes over TCP sockets. */
final class ClientSockets implements ClientTransport, Closeable {
  private static final String CONNECTION = "connection";

  private final Consumer<Runnable> post;
  private final InetSocketAddress[] gateways;
  private final boolean[] up;
  private final NioSocketConnector connector = new NioSocketConnector(1);

  /**
   * Creates the transport; all gateways count as down until {@link #setUp} is called.
   *
   * @param gateways the client address of each gateway, by its index
   * @param post runs a callback on the thread that owns the clients, because MINA calls its
   *     handlers on its own threads
   */
  ClientSockets(InetSocketAddress[] gateways, Consumer<Runnable> post) {
    this.gateways = gateways;
    this.post = post;
    up = new boolean[gateways.length];
    connector.getSessionConfig().setTcpNoDelay(true);
    connector.setHandler(new Handler());
  }

  /** Sets whether clients may connect to a gateway. */
  void setUp(int gateway, boolean isUp) {
    up[gateway] = isUp;
  }

  @Override
  public boolean isUp(int gateway) {
    return up[gateway];
  }

  @Override
  public Connection open(int gateway, Listener listener) {
    SocketConnection connection = new SocketConnection(listener);
    ConnectFuture future =
        connector.connect(
            gateways[gateway],
            (session, connecting) -> session.setAttribute(CONNECTION, connection));
    future.addListener(
        done -> {
          if (future.getException() != null) {
            post.accept(connection::onClosed);
          }
        });
    return connection;
  }

  @Override
  public void close() {
    connector.dispose(false);
  }

  /** A client's connection. Bytes that are sent before it is open are queued until it is. */
  private static final class SocketConnection implements Connection {
    private final Listener listener;
    private final ArrayDeque<byte[]> unsent = new ArrayDeque<>();
    private IoSession session;
    private boolean closed;

    SocketConnection(Listener listener) {
      this.listener = listener;
    }

    void onOpened(IoSession openSession) {
      session = openSession;
      if (closed) {
        session.closeNow();
      }
      for (byte[] bytes = unsent.poll(); bytes != null; bytes = unsent.poll()) {
        session.write(IoBuffer.wrap(bytes));
      }
    }

    @Override
    public void send(byte[] bytes) {
      if (session == null) {
        unsent.add(bytes);
      } else {
        session.write(IoBuffer.wrap(bytes));
      }
    }

    @Override
    public void disconnect() {
      closed = true;
      if (session != null) {
        session.closeOnFlush();
      }
    }

    void onBytes(byte[] bytes) {
      if (!closed) {
        listener.onBytes(bytes);
      }
    }

    void onClosed() {
      if (!closed) {
        closed = true;
        listener.onClosed();
      }
    }
  }

  /** Forwards MINA's events to the thread that owns the clients. */
  private final class Handler extends IoHandlerAdapter {
    @Override
    public void sessionOpened(IoSession session) {
      SocketConnection connection = (SocketConnection) session.getAttribute(CONNECTION);
      post.accept(() -> connection.onOpened(session));
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      byte[] bytes = Buffers.bytes(message);
      SocketConnection connection = (SocketConnection) session.getAttribute(CONNECTION);
      post.accept(() -> connection.onBytes(bytes));
    }

    @Override
    public void sessionClosed(IoSession session) {
      SocketConnection connection = (SocketConnection) session.getAttribute(CONNECTION);
      post.accept(connection::onClosed);
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      session.closeNow();
    }
  }
}
