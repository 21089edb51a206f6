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
 * The discovery service of one gateway: engines e1, e2, ... at the ports at which that gateway
 * reaches them.
 */
public final class FakeNameService implements Closeable {
  private final DatagramSocket socket =
      new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  private final List<EndpointEntry> entries = new ArrayList<>();

  public FakeNameService(List<Integer> engines) throws IOException {
    for (int i = 0; i < engines.size(); i++) {
      entries.add(
          new EndpointEntry(
              "e" + (i + 1), "127.0.0.1", engines.get(i), "east", "std", 0, Status.READY, 1, 0));
    }
    Thread thread = new Thread(this::run, "names");
    thread.setDaemon(true);
    thread.start();
  }

  public int port() {
    return socket.getLocalPort();
  }

  private void run() {
    DatagramPacket packet = new DatagramPacket(new byte[512], 512);
    while (!socket.isClosed()) {
      try {
        socket.receive(packet);
        byte[] question = packet.getData();
        byte[] answer =
            DiscoveryResponse.of((question[0] & 255) << 8 | question[1] & 255, 2, entries);
        socket.send(new DatagramPacket(answer, answer.length, packet.getSocketAddress()));
      } catch (IOException e) {
        // A gateway that was killed; the next question is as good.
      }
    }
  }

  @Override
  public void close() {
    socket.close();
  }
}
