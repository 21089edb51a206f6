package tillerlink.harness;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Arrays;
import java.util.function.Consumer;

/** A fake discovery service on loopback, with one port for each gateway. */
final class NameSockets implements Closeable {
  private static final int MAX_DATAGRAM_BYTES = 512;

  /** Answers queries. */
  interface Responder {
    /** The response datagram to a query of a gateway, or null for none. */
    byte[] respond(int gateway, byte[] query);
  }

  private final DatagramSocket[] sockets;
  private final Consumer<Runnable> post;
  private final Responder responder;

  NameSockets(int gateways, Consumer<Runnable> post, Responder responder) throws IOException {
    this.post = post;
    this.responder = responder;
    sockets = new DatagramSocket[gateways];
    for (int i = 0; i < gateways; i++) {
      sockets[i] = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      int gateway = i;
      Thread thread = new Thread(() -> listen(gateway), "names-" + i);
      thread.setDaemon(true);
      thread.start();
    }
  }

  InetSocketAddress address(int gateway) {
    return (InetSocketAddress) sockets[gateway].getLocalSocketAddress();
  }

  private void listen(int gateway) {
    DatagramPacket packet = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
    while (!sockets[gateway].isClosed()) {
      try {
        sockets[gateway].receive(packet);
        byte[] query = Arrays.copyOf(packet.getData(), packet.getLength());
        SocketAddress from = packet.getSocketAddress();
        post.accept(() -> reply(gateway, query, from));
      } catch (IOException e) {
        // The sender has gone; wait for the next query.
      }
    }
  }

  private void reply(int gateway, byte[] query, SocketAddress to) {
    byte[] response = responder.respond(gateway, query);
    if (response == null) {
      return;
    }
    try {
      sockets[gateway].send(new DatagramPacket(response, response.length, to));
    } catch (IOException e) {
      // The gateway repeats its query.
    }
  }

  @Override
  public void close() {
    for (DatagramSocket socket : sockets) {
      socket.close();
    }
  }
}
