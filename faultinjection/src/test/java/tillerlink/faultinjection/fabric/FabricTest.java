package tillerlink.faultinjection.fabric;

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
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The fabric by itself: two plain sockets stand for processes. */
class FabricTest {
  private static final int PATIENCE_MS = 10_000;
  private Fabric fabric;
  private DatagramSocket a;
  private DatagramSocket b;

  @BeforeEach
  void open() throws IOException {
    fabric = new Fabric(7);
    a = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    b = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    a.setSoTimeout(PATIENCE_MS);
    b.setSoTimeout(PATIENCE_MS);
    fabric.place("a", a.getLocalPort());
    fabric.place("b", b.getLocalPort());
  }

  @AfterEach
  void close() throws IOException {
    fabric.close();
    a.close();
    b.close();
  }

  private void say(DatagramSocket from, int port, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    from.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), port));
  }

  private static DatagramPacket heard(DatagramSocket at) throws IOException {
    DatagramPacket packet = new DatagramPacket(new byte[2000], 2000);
    at.receive(packet);
    return packet;
  }

  private static String text(DatagramPacket packet) {
    return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
  }

  /**
   * Guards what answers to where a datagram came from: it goes the way on which its sender is
   * reached.
   */
  @Test
  void anAnswerGoesTheWayBack() throws IOException {
    say(a, fabric.port("a", "b"), "hello");
    DatagramPacket packet = heard(b);
    assertEquals("hello", text(packet));
    assertEquals(fabric.port("b", "a"), packet.getPort());
    say(b, packet.getPort(), "and back");
    assertEquals("and back", text(heard(a)));
  }

  @Test
  void aCutIsOneWay() throws IOException {
    fabric.set("a", "b", Fault.CUT);
    say(a, fabric.port("a", "b"), "never");
    say(b, fabric.port("b", "a"), "this way");
    assertEquals("this way", text(heard(a)));
    until(Tally.What.CUT, 1);
    fabric.heal();
    say(a, fabric.port("a", "b"), "now");
    assertEquals("now", text(heard(b)));
  }

  @Test
  void onlySmallOnesGetThrough() throws IOException {
    fabric.set("a", "b", Fault.small(100));
    say(a, fabric.port("a", "b"), "x".repeat(101));
    say(a, fabric.port("a", "b"), "y".repeat(100));
    assertEquals("y".repeat(100), text(heard(b)));
    assertEquals(1, fabric.tally().of(Tally.What.TOO_LONG));
  }

  @Test
  void repeatsAndLetsLaterOnesOvertake() throws IOException {
    fabric.set("a", "b", Fault.bad(0, 1, 0));
    say(a, fabric.port("a", "b"), "twice");
    assertEquals("twice", text(heard(b)));
    assertEquals("twice", text(heard(b)));
    fabric.set("a", "b", Fault.late(1500, 1500));
    say(a, fabric.port("a", "b"), "first");
    until(Tally.What.LATE, 1);
    fabric.set("a", "b", Fault.NONE);
    say(a, fabric.port("a", "b"), "second");
    assertEquals("second", text(heard(b)));
    assertEquals("first", text(heard(b)));
  }

  /**
   * Guards against a play that differs with the machine's speed: what is lost follows from seed,
   * pair and ordinal.
   */
  @Test
  void whatIsLostFollowsFromTheSeed() throws IOException {
    fabric.set("a", "b", Fault.lossy(0.5));
    Set<Integer> expected = new TreeSet<>();
    Set<Integer> other = new TreeSet<>();
    for (int i = 0; i < 64; i++) {
      if (!LinkFault.of(7, "a", "b", i, Fault.lossy(0.5)).lost()) {
        expected.add(i);
      }
      if (!LinkFault.of(8, "a", "b", i, Fault.lossy(0.5)).lost()) {
        other.add(i);
      }
      say(a, fabric.port("a", "b"), Integer.toString(i));
    }
    assertNotEquals(expected, other);
    assertTrue(expected.size() > 16 && expected.size() < 48, expected.toString());
    Set<Integer> came = new TreeSet<>();
    while (came.size() < expected.size()) {
      came.add(Integer.parseInt(text(heard(b))));
    }
    assertEquals(expected, came);
    assertEquals(64 - expected.size(), fabric.tally().of(Tally.What.LOST));
  }

  @Test
  void aSlowWayTakesItsTimeAndDropsWhatIsTooMuch() throws IOException {
    fabric.set("a", "b", Fault.slow(1000));
    long began = System.nanoTime();
    List<String> sent = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      sent.add(i + "x".repeat(499));
      say(a, fabric.port("a", "b"), sent.get(i));
    }
    until(Tally.What.TOO_MUCH, 1);
    assertEquals(sent.get(0), text(heard(b)));
    assertEquals(sent.get(1), text(heard(b)));
    assertTrue(
        System.nanoTime() - began > 700_000_000L, "1000 bytes at 1000 a second came at once");
  }

  @Test
  void aDoorHoldsAndResets() throws IOException {
    try (ServerSocket far = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        Door door = new Door(far.getLocalPort(), fabric.tally());
        Socket near = new Socket(InetAddress.getLoopbackAddress(), door.port());
        Socket there = far.accept()) {
      near.getOutputStream().write(1);
      assertEquals(1, there.getInputStream().read());
      door.set(Fault.CUT);
      near.getOutputStream().write(2);
      there.setSoTimeout(200);
      assertFalse(comes(there));
      door.set(Fault.NONE);
      there.setSoTimeout(PATIENCE_MS);
      assertEquals(2, there.getInputStream().read());
      door.reset();
      assertFalse(comes(near));
    }
  }

  private static boolean comes(Socket socket) throws IOException {
    try {
      return socket.getInputStream().read() >= 0;
    } catch (SocketTimeoutException | java.net.SocketException e) {
      return false;
    }
  }

  private void until(Tally.What what, long count) {
    long until = System.nanoTime() + PATIENCE_MS * 1_000_000L;
    while (fabric.tally().of(what) < count) {
      assertTrue(System.nanoTime() < until, "no " + what);
      Thread.onSpinWait();
    }
  }
}
