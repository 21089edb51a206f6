package tillerlink.faultinjection.network;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy on the loopback interface that forwards connections to another port. Connections can
 * be delayed, limited in rate, reset, or cut, in which case bytes wait, as in a network partition.
 */
public final class TcpProxy implements Closeable {
  private static final int BUFFER_BYTES = 4096;
  private static final int CONNECT_TIMEOUT_MS = 2000;
  private static final int ACCEPT_BACKLOG = 64;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final NetworkCounters counters;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private volatile LinkBehaviour behaviour = LinkBehaviour.NONE;
  private volatile boolean closed;

  /**
   * Starts a proxy on a free port.
   *
   * @param target the loopback port to which connections are forwarded
   * @param counters counts resets and failed connections
   */
  public TcpProxy(int target, NetworkCounters counters) throws IOException {
    this.counters = counters;
    this.target = new InetSocketAddress(InetAddress.getLoopbackAddress(), target);
    listener = new ServerSocket(0, ACCEPT_BACKLOG, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  /** Returns the port on which the proxy listens. */
  public int port() {
    return listener.getLocalPort();
  }

  /**
   * Changes the behaviour of present and new connections. Of the faults, only the cut, the smallest
   * delay (for each read) and the rate apply.
   */
  public void set(LinkBehaviour newBehaviour) {
    synchronized (this) {
      behaviour = newBehaviour;
      notifyAll();
    }
  }

  /** Resets all open connections; new ones are still accepted. */
  public void reset() {
    for (Socket socket : openSockets) {
      counters.add(NetworkCounters.Counter.RESET);
      end(socket, true);
    }
  }

  private void accept() {
    while (!closed) {
      try {
        Socket client = listener.accept();
        client.setTcpNoDelay(true);
        openSockets.add(client);
        daemon(() -> connect(client));
      } catch (IOException e) {
        // The proxy is closed, or there is no free file descriptor for now; the client retries.
      }
    }
  }

  private void connect(Socket client) {
    Socket server = new Socket();
    try {
      delay(0);
      server.connect(target, CONNECT_TIMEOUT_MS);
      server.setTcpNoDelay(true);
      openSockets.add(server);
      daemon(() -> forward(server, client));
      forward(client, server);
    } catch (IOException e) {
      counters.add(NetworkCounters.Counter.NOBODY);
      end(client, true);
    }
  }

  private void forward(Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        delay(count);
        out.write(buffer, 0, count);
        out.flush();
      }
      end(from, false);
      end(to, false);
    } catch (IOException e) {
      end(from, true);
      end(to, true);
    }
  }

  /** Waits while the link is cut, and then for the delay of a number of bytes. */
  private void delay(int bytes) throws IOException {
    try {
      synchronized (this) {
        while (behaviour.cut() && !closed) {
          wait();
        }
      }
      LinkBehaviour current = behaviour;
      long ms = current.minDelay() / 10 + (current.rate() > 0 ? bytes * 1000L / current.rate() : 0);
      if (ms > 0) {
        Thread.sleep(ms);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while delaying bytes", e);
    }
  }

  private void end(Socket socket, boolean reset) {
    openSockets.remove(socket);
    try {
      if (reset && !socket.isClosed()) {
        socket.setSoLinger(true, 0);
      }
      socket.close();
    } catch (IOException e) {
      // The socket is already closed.
    }
  }

  private static void daemon(Runnable work) {
    Thread thread = new Thread(work, "tcp-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    set(LinkBehaviour.NONE);
    listener.close();
    openSockets.forEach(socket -> end(socket, true));
  }
}
