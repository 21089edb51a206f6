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
import tillerlink.replay.Lines;

/** Connections of clients to gateway processes. */
final class ClientSockets implements Lines, Closeable {
  private static final String LINE = "line";

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

  void up(int gateway, boolean is) {
    up[gateway] = is;
  }

  @Override
  public boolean isUp(int gateway) {
    return up[gateway];
  }

  @Override
  public Line open(int gateway, Client client) {
    Connection connection = new Connection(client);
    ConnectFuture future =
        connector.connect(
            gateways[gateway], (session, connecting) -> session.setAttribute(LINE, connection));
    future.addListener(
        done -> {
          if (future.getException() != null) {
            post.accept(connection::ended);
          }
        });
    return connection;
  }

  @Override
  public void close() {
    connector.dispose(false);
  }

  /** What is said before it is up waits. */
  private static final class Connection implements Line {
    private final Client client;
    private final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
    private IoSession session;
    private boolean over;

    Connection(Client client) {
      this.client = client;
    }

    void opened(IoSession on) {
      session = on;
      if (over) {
        session.closeNow();
      }
      for (byte[] bytes = waiting.poll(); bytes != null; bytes = waiting.poll()) {
        session.write(IoBuffer.wrap(bytes));
      }
    }

    @Override
    public void say(byte[] bytes) {
      if (session == null) {
        waiting.add(bytes);
      } else {
        session.write(IoBuffer.wrap(bytes));
      }
    }

    @Override
    public void hangUp() {
      over = true;
      if (session != null) {
        session.closeOnFlush();
      }
    }

    void heard(byte[] bytes) {
      if (!over) {
        client.heard(bytes);
      }
    }

    void ended() {
      if (!over) {
        over = true;
        client.ended();
      }
    }
  }

  private final class Handler extends IoHandlerAdapter {
    @Override
    public void sessionOpened(IoSession session) {
      Connection line = (Connection) session.getAttribute(LINE);
      post.accept(() -> line.opened(session));
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      byte[] bytes = Buffers.bytes(message);
      Connection line = (Connection) session.getAttribute(LINE);
      post.accept(() -> line.heard(bytes));
    }

    @Override
    public void sessionClosed(IoSession session) {
      Connection line = (Connection) session.getAttribute(LINE);
      post.accept(line::ended);
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      session.closeNow();
    }
  }
}
