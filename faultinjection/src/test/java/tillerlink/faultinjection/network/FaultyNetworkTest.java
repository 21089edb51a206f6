package tillerlink.faultinjection.network;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the faulty network with two plain datagram sockets instead of gateway processes. */
class FaultyNetworkTest {
  private static final int TIMEOUT_MS = 10_000;
  private FaultyNetwork network;
  private DatagramSocket first;
  private DatagramSocket second;

  @BeforeEach
  void open() throws IOException {
    network = new FaultyNetwork(7);
    first = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    second = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    first.setSoTimeout(TIMEOUT_MS);
    second.setSoTimeout(TIMEOUT_MS);
    network.register("a", first.getLocalPort());
    network.register("b", second.getLocalPort());
  }

  @AfterEach
  void close() throws IOException {
    network.close();
    first.close();
    second.close();
  }

  private void send(DatagramSocket from, int port, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    from.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), port));
  }

  private static DatagramPacket receive(DatagramSocket socket) throws IOException {
    DatagramPacket packet = new DatagramPacket(new byte[2000], 2000);
    socket.receive(packet);
    return packet;
  }

  private static String text(DatagramPacket packet) {
    return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
  }

  /**
   * Tests that a datagram's source address is the port of the reverse link, so that a reply to it
   * is subject to the faults of that link.
   */
  @Test
  void replyTakesTheReverseLink() throws IOException {
    send(first, network.port("a", "b"), "hello");
    DatagramPacket packet = receive(second);
    assertEquals("hello", text(packet));
    assertEquals(network.port("b", "a"), packet.getPort());
    send(second, packet.getPort(), "and back");
    assertEquals("and back", text(receive(first)));
  }

  @Test
  void cutDropsDatagramsOfOneDirectionOnly() throws IOException {
    network.set("a", "b", LinkBehaviour.CUT);
    send(first, network.port("a", "b"), "never");
    send(second, network.port("b", "a"), "this way");
    assertEquals("this way", text(receive(first)));
    awaitCount(NetworkCounters.Counter.CUT, 1);
    network.heal();
    send(first, network.port("a", "b"), "now");
    assertEquals("now", text(receive(second)));
  }

  @Test
  void datagramsLongerThanTheLimitAreDropped() throws IOException {
    network.set("a", "b", LinkBehaviour.small(100));
    send(first, network.port("a", "b"), "x".repeat(101));
    send(first, network.port("a", "b"), "y".repeat(100));
    assertEquals("y".repeat(100), text(receive(second)));
    assertEquals(1, network.counters().of(NetworkCounters.Counter.TOO_LONG));
  }

  @Test
  void datagramsAreDuplicatedAndReordered() throws IOException {
    network.set("a", "b", LinkBehaviour.bad(0, 1, 0));
    send(first, network.port("a", "b"), "twice");
    assertEquals("twice", text(receive(second)));
    assertEquals("twice", text(receive(second)));
    network.set("a", "b", LinkBehaviour.late(1500, 1500));
    send(first, network.port("a", "b"), "first");
    awaitCount(NetworkCounters.Counter.LATE, 1);
    network.set("a", "b", LinkBehaviour.NONE);
    send(first, network.port("a", "b"), "second");
    assertEquals("second", text(receive(second)));
    assertEquals("first", text(receive(second)));
  }

  /**
   * Tests that the loss of a datagram depends only on the seed, the link and the datagram's number
   * on the link, so that a run can be repeated on a machine of another speed.
   */
  @Test
  void lossFollowsFromTheSeed() throws IOException {
    network.set("a", "b", LinkBehaviour.lossy(0.5));
    Set<Integer> expected = new TreeSet<>();
    Set<Integer> otherSeedExpected = new TreeSet<>();
    for (int i = 0; i < 64; i++) {
      if (!DatagramOutcome.of(7, "a", "b", i, LinkBehaviour.lossy(0.5)).lost()) {
        expected.add(i);
      }
      if (!DatagramOutcome.of(8, "a", "b", i, LinkBehaviour.lossy(0.5)).lost()) {
        otherSeedExpected.add(i);
      }
      send(first, network.port("a", "b"), Integer.toString(i));
    }
    assertNotEquals(expected, otherSeedExpected);
    assertTrue(expected.size() > 16 && expected.size() < 48, expected.toString());
    Set<Integer> received = new TreeSet<>();
    while (received.size() < expected.size()) {
      received.add(Integer.parseInt(text(receive(second))));
    }
    assertEquals(expected, received);
    assertEquals(64 - expected.size(), network.counters().of(NetworkCounters.Counter.LOST));
  }

  @Test
  void slowLinkDelaysAndDropsOverflow() throws IOException {
    network.set("a", "b", LinkBehaviour.slow(1000));
    long startNanos = System.nanoTime();
    List<String> sent = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      sent.add(i + "x".repeat(499));
      send(first, network.port("a", "b"), sent.get(i));
    }
    awaitCount(NetworkCounters.Counter.TOO_MUCH, 1);
    assertEquals(sent.get(0), text(receive(second)));
    assertEquals(sent.get(1), text(receive(second)));
    assertTrue(
        System.nanoTime() - startNanos > 700_000_000L,
        "1000 bytes arrived within 700 ms on a link of 1000 bytes per second");
  }

  @Test
  void proxyBlocksAndResetsConnections() throws IOException {
    try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        TcpProxy proxy = new TcpProxy(listener.getLocalPort(), network.counters());
        Socket client = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
        Socket server = listener.accept()) {
      client.getOutputStream().write(1);
      assertEquals(1, server.getInputStream().read());
      proxy.set(LinkBehaviour.CUT);
      client.getOutputStream().write(2);
      server.setSoTimeout(200);
      assertFalse(canRead(server));
      proxy.set(LinkBehaviour.NONE);
      server.setSoTimeout(TIMEOUT_MS);
      assertEquals(2, server.getInputStream().read());
      proxy.reset();
      assertFalse(canRead(client));
    }
  }

  /** Returns whether a byte arrives before the socket's read timeout, its end or its reset. */
  private static boolean canRead(Socket socket) throws IOException {
    try {
      return socket.getInputStream().read() >= 0;
    } catch (SocketTimeoutException | SocketException e) {
      return false;
    }
  }

  /** Waits until a counter reaches a count; fails after {@link #TIMEOUT_MS}. */
  private void awaitCount(NetworkCounters.Counter counter, long count) {
    long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
    while (network.counters().of(counter) < count) {
      assertTrue(System.nanoTime() < deadline, "timed out waiting for counter " + counter);
      Thread.onSpinWait();
    }
  }
}
