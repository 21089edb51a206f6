package tillerlink.faultinjection.process;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Free ports of loopback, for processes that come back to the port that they had. They lie below
 * those that the system gives out by itself, or one would be taken by somebody's connection while
 * its process is down.
 */
public final class Ports {
  private static final int FIRST = 12_000;
  private static final int COUNT = 20_000;
  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 127 % COUNT));

  private Ports() {}

  /** One that is free for connections and datagrams. */
  public static int free() {
    for (int tried = 0; tried < COUNT; tried++) {
      int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
      InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
      try (ServerSocket tcp = new ServerSocket(port, 1, at.getAddress());
          DatagramSocket udp = new DatagramSocket(at)) {
        return tcp.getLocalPort() == udp.getLocalPort() ? port : free();
      } catch (IOException e) {
        // Taken; the next one.
      }
    }
    throw new IllegalStateException("no port is free");
  }
}
