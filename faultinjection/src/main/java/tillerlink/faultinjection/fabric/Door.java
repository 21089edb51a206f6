package tillerlink.faultinjection.fabric;

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
 * A port of loopback that leads connections on to another one: they can be held up, cut (bytes
 * wait, as while a network is parted), slowed down and reset.
 */
public final class Door implements Closeable {
  private static final int PIECE = 4096;
  private static final int CONNECT_MS = 2000;
  private static final int BACKLOG = 64;

  private final ServerSocket door;
  private final InetSocketAddress target;
  private final Tally tally;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile Fault fault = Fault.NONE;
  private volatile boolean closed;

  public Door(int target, Tally tally) throws IOException {
    this.tally = tally;
    this.target = new InetSocketAddress(InetAddress.getLoopbackAddress(), target);
    door = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  public int port() {
    return door.getLocalPort();
  }

  /**
   * From now on connections fare so; of a fault the parts cut, least (for each piece) and rate are
   * of use.
   */
  public void set(Fault how) {
    synchronized (this) {
      fault = how;
      notifyAll();
    }
  }

  /** Resets all connections of now; new ones are taken. */
  public void reset() {
    for (Socket socket : open) {
      tally.add(Tally.What.RESET);
      end(socket, true);
    }
  }

  private void accept() {
    while (!closed) {
      try {
        Socket near = door.accept();
        near.setTcpNoDelay(true);
        open.add(near);
        daemon(() -> lead(near));
      } catch (IOException e) {
        // Closed, or out of descriptors for a moment; the client tries again.
      }
    }
  }

  private void lead(Socket near) {
    Socket far = new Socket();
    try {
      pass(0);
      far.connect(target, CONNECT_MS);
      far.setTcpNoDelay(true);
      open.add(far);
      daemon(() -> pump(far, near));
      pump(near, far);
    } catch (IOException e) {
      tally.add(Tally.What.NOBODY);
      end(near, true);
    }
  }

  private void pump(Socket from, Socket to) {
    byte[] piece = new byte[PIECE];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(piece); n >= 0; n = in.read(piece)) {
        pass(n);
        out.write(piece, 0, n);
        out.flush();
      }
      end(from, false);
      end(to, false);
    } catch (IOException e) {
      end(from, true);
      end(to, true);
    }
  }

  /** Waits as long as what holds now says for a piece. */
  private void pass(int bytes) throws IOException {
    try {
      synchronized (this) {
        while (fault.cut() && !closed) {
          wait();
        }
      }
      Fault holds = fault;
      long ms = holds.least() / 10 + (holds.rate() > 0 ? bytes * 1000L / holds.rate() : 0);
      if (ms > 0) {
        Thread.sleep(ms);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("the door is closed", e);
    }
  }

  private void end(Socket socket, boolean hard) {
    open.remove(socket);
    try {
      if (hard && !socket.isClosed()) {
        socket.setSoLinger(true, 0);
      }
      socket.close();
    } catch (IOException e) {
      // It is gone, which is what was wanted.
    }
  }

  private static void daemon(Runnable work) {
    Thread thread = new Thread(work, "door");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    set(Fault.NONE);
    door.close();
    open.forEach(socket -> end(socket, true));
  }
}
