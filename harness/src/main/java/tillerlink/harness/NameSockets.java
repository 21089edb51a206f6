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

/**
 * The UDP sockets of a fake discovery service on loopback. Each gateway has a separate port, which
 * identifies it.
 */
final class NameSockets implements Closeable {
  private static final int MAX_DATAGRAM_BYTES = 512;

  /** Makes the responses of the discovery service. */
  interface Responder {
    /**
     * Returns the response datagram to a query, or null to send no response.
     *
     * @param gateway the index of the gateway that sent the query
     * @param query the query datagram
     */
    byte[] respond(int gateway, byte[] query);
  }

  private final DatagramSocket[] sockets;
  private final Consumer<Runnable> post;
  private final Responder responder;

  /**
   * Opens one socket for each gateway and starts a thread that receives on it.
   *
   * @param gateways the number of gateways
   * @param post runs a callback on the thread that owns the responder
   * @param responder makes the responses
   * @throws IOException if a socket cannot be opened
   */
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

  /** Returns the address to which a gateway sends its queries. */
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
        // Either the sender no longer exists and the next query follows, or the socket was closed
        // and the loop ends.
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
      // The lost response needs no handling, because the gateway repeats its query.
    }
  }

  @Override
  public void close() {
    for (DatagramSocket socket : sockets) {
      socket.close();
    }
  }
}
