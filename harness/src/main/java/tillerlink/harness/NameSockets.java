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

/** A fake discovery service on loopback, with a port for each gateway. */
final class NameSockets implements Closeable {
  private static final int DATAGRAM_MOST = 512;

  /** Who answers: for a gateway's question, the datagram that goes back, or null for none. */
  interface Answers {
    byte[] answer(int gateway, byte[] question);
  }

  private final DatagramSocket[] sockets;
  private final Consumer<Runnable> post;
  private final Answers answers;

  NameSockets(int gateways, Consumer<Runnable> post, Answers answers) throws IOException {
    this.post = post;
    this.answers = answers;
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
    DatagramPacket packet = new DatagramPacket(new byte[DATAGRAM_MOST], DATAGRAM_MOST);
    while (!sockets[gateway].isClosed()) {
      try {
        sockets[gateway].receive(packet);
        byte[] question = Arrays.copyOf(packet.getData(), packet.getLength());
        SocketAddress from = packet.getSocketAddress();
        post.accept(() -> reply(gateway, question, from));
      } catch (IOException e) {
        // A question whose asker has gone; the next is as good.
      }
    }
  }

  private void reply(int gateway, byte[] question, SocketAddress to) {
    byte[] answer = answers.answer(gateway, question);
    if (answer == null) {
      return;
    }
    try {
      sockets[gateway].send(new DatagramPacket(answer, answer.length, to));
    } catch (IOException e) {
      // The gateway asks again.
    }
  }

  @Override
  public void close() {
    for (DatagramSocket socket : sockets) {
      socket.close();
    }
  }
}
