package tillerlink.faultinjection.engine;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import tillerlink.fakes.DiscoveryResponse;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;

/**
 * A fake discovery service for one gateway. It lists engines e1, e2, ... under the ports through
 * which that gateway reaches them.
 */
public final class FakeNameService implements Closeable {
  private static final int MAX_QUERY_BYTES = 512;
  private static final int LIST_VERSION = 2;

  private final DatagramSocket socket =
      new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  private final List<EndpointEntry> entries = new ArrayList<>();

  /**
   * Starts a service on a free port of the loopback interface.
   *
   * @param enginePorts the ports of engines e1, e2, ...
   */
  public FakeNameService(List<Integer> enginePorts) throws IOException {
    for (int i = 0; i < enginePorts.size(); i++) {
      entries.add(
          new EndpointEntry(
              "e" + (i + 1),
              "127.0.0.1",
              enginePorts.get(i),
              "east",
              "std",
              0,
              Status.READY,
              1,
              0));
    }
    Thread thread = new Thread(this::run, "names");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the port on which the service listens. */
  public int port() {
    return socket.getLocalPort();
  }

  private void run() {
    DatagramPacket packet = new DatagramPacket(new byte[MAX_QUERY_BYTES], MAX_QUERY_BYTES);
    while (!socket.isClosed()) {
      try {
        socket.receive(packet);
        byte[] query = packet.getData();
        byte[] response =
            DiscoveryResponse.of((query[0] & 255) << 8 | (query[1] & 255), LIST_VERSION, entries);
        socket.send(new DatagramPacket(response, response.length, packet.getSocketAddress()));
      } catch (IOException e) {
        // The gateway was killed or the service closed; the loop ends only in the latter case.
      }
    }
  }

  @Override
  public void close() {
    socket.close();
  }
}
