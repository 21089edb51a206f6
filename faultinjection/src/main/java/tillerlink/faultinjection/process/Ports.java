package tillerlink.faultinjection.process;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Free ports of loopback for processes that restart at the same port. They are below the ephemeral
 * ports of the system, so that no outgoing connection takes one while its process is down.
 */
public final class Ports {
  private static final int FIRST = 12_000;
  private static final int PID_STRIDE = 127;
  private static final int COUNT = 20_000;
  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PID_STRIDE % COUNT));

  private Ports() {}

  /** A port that is free for TCP and UDP. */
  public static int free() {
    for (int tried = 0; tried < COUNT; tried++) {
      int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
      InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
      try (ServerSocket tcp = new ServerSocket(port, 1, address.getAddress());
          DatagramSocket udp = new DatagramSocket(address)) {
        return tcp.getLocalPort() == udp.getLocalPort() ? port : free();
      } catch (IOException e) {
        // In use; try the next one.
      }
    }
    throw new IllegalStateException("no port is free");
  }
}
