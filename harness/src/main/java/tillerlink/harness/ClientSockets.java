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

/** Socket connections of clients to gateway processes. */
final class ClientSockets implements ClientTransport, Closeable {
  private static final String CONNECTION = "connection";

  private final Consumer<Runnable> post;
  private final InetSocketAddress[] gateways;
  private final boolean[] up;
  private final NioSocketConnector connector = new NioSocketConnector(1);

  ClientSockets(InetSocketAddress[] gateways, Consumer<Runnable> post) {
    this.gateways = gateways;
    this.post = post;
    up = new boolean[gateways.length];
    connector.getSessionConfig().setTcpNoDelay(true);
    connector.setHandler(new Handler());
  }

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

  /** What is sent before the connection is open waits. */
  private static final class SocketConnection implements Connection {
    private final Listener listener;
    private final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
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
      for (byte[] bytes = waiting.poll(); bytes != null; bytes = waiting.poll()) {
        session.write(IoBuffer.wrap(bytes));
      }
    }

    @Override
    public void send(byte[] bytes) {
      if (session == null) {
        waiting.add(bytes);
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
