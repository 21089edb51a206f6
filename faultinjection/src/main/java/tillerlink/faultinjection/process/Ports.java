package tillerlink.faultinjection.process;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free loopback ports for processes that restart on the same port. The ports are below the
 * system's ephemeral ports, so that no outgoing connection takes one while its process is down.
 */
public final class Ports {
  private static final int FIRST = 12_000;

  /** Spreads the first ports of concurrent test processes, whose ids are often consecutive. */
  private static final int PID_STRIDE = 127;

  private static final int COUNT = 20_000;
  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PID_STRIDE % COUNT));

  private Ports() {}

  /**
   * Returns a port that is free for TCP and UDP. It is not reserved.
   *
   * @throws IllegalStateException if all ports of the range are in use
   */
  public static int free() {
    for (int tried = 0; tried < COUNT; tried++) {
      int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
      InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
      try (ServerSocket tcp = new ServerSocket(port, 1, address.getAddress());
          DatagramSocket udp = new DatagramSocket(address)) {
        return tcp.getLocalPort() == udp.getLocalPort() ? port : free();
      } catch (IOException e) {
        // The port is in use; the next one is tried.
      }
    }
    throw new IllegalStateException("none of " + COUNT + " ports from " + FIRST + " is free");
  }
}
