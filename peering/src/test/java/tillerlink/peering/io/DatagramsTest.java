package tillerlink.peering.io;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.Test;

class DatagramsTest {
  private final BlockingQueue<Runnable> turns = new LinkedBlockingQueue<>();
  private final List<byte[]> came = new ArrayList<>();

  private static String free() throws IOException {
    try (DatagramSocket any = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      return "127.0.0.1:" + any.getLocalPort();
    }
  }

  private void turn() throws InterruptedException {
    Runnable turn = turns.poll(30, TimeUnit.SECONDS);
    assertTrue(turn != null, "nothing came");
    turn.run();
  }

  /**
   * Bytes go both ways as they are; one that is too long is seen to be; nothing of ours runs on
   * MINA's thread.
   */
  @Test
  void bothWays() throws Exception {
    String one = free();
    String other = free();
    try (Datagrams first = new Datagrams(one, 100, turns::add, (from, bytes) -> came.add(bytes));
        Datagrams second =
            new Datagrams(
                other,
                100,
                turns::add,
                (from, bytes) -> {
                  came.add(bytes);
                  first.send(from, bytes);
                })) {
      assertTrue(second.send(one, new byte[] {1, 2}));
      turn();
      assertTrue(first.send(other, new byte[] {3}));
      turn();
      turn();
      assertArrayEquals(new byte[] {1, 2}, came.get(0));
      assertArrayEquals(new byte[] {3}, came.get(1));
      assertArrayEquals(new byte[] {3}, came.get(2));
      assertTrue(first.send(other, new byte[5000]));
      turn();
      assertEquals(101, came.get(3).length);
      assertFalse(first.send("nowhere:1", new byte[1]));
      assertThrows(
          IOException.class, () -> new Datagrams(one, 100, turns::add, (from, bytes) -> {}));
    }
  }

  /**
   * What comes faster than it is taken does not pile up: the newest are dropped, and what waited is
   * taken.
   */
  @Test
  void doesNotPileUp() throws Exception {
    String at = free();
    InetSocketAddress to = Addresses.parse(at);
    try (Datagrams socket = new Datagrams(at, 100, turns::add, (from, bytes) -> came.add(bytes));
        DatagramSocket sender = new DatagramSocket()) {
      for (int i = 0; socket.dropped() == 0; i++) {
        assertTrue(i < 2_000_000, "nothing was dropped, and " + turns.size() + " wait");
        sender.send(new DatagramPacket(new byte[10], 10, to));
      }
      assertEquals(2048, turns.size());
      turn();
      assertEquals(1, came.size());
    }
  }

  /** Guards the memory against ever new addresses. */
  @Test
  void remembersTheLatestAddressesOnly() {
    RecentSessions recent = new RecentSessions();
    List<Integer> closed = new ArrayList<>();
    List<IoSession> sessions = new ArrayList<>();
    for (int i = 0; i < RecentSessions.MAX_SESSIONS + 2; i++) {
      int number = i;
      InetSocketAddress at = new InetSocketAddress("127.0.0.1", 1 + i);
      sessions.add(
          (IoSession)
              Proxy.newProxyInstance(
                  getClass().getClassLoader(),
                  new Class<?>[] {IoSession.class},
                  (proxy, method, values) ->
                      switch (method.getName()) {
                        case "getRemoteAddress" -> at;
                        case "closeNow" -> closed.add(number) ? null : null;
                        case "equals" -> proxy == values[0];
                        default -> null;
                      }));
      recent.put(sessions.get(i));
      recent.recycle(new InetSocketAddress("127.0.0.1", 1), 0);
    }
    assertEquals(List.of(1, 2), closed);
    assertNull(recent.recycle(new InetSocketAddress("127.0.0.1", 2), 0));
    recent.remove(sessions.get(0));
    assertNull(recent.recycle(new InetSocketAddress("127.0.0.1", 1), 0));
  }

  @Test
  void addresses() {
    for (String good : List.of("127.0.0.1:1", "10.1.2.3:65535", "[::1]:7400")) {
      assertEquals(
          Integer.parseInt(good.substring(good.lastIndexOf(':') + 1)),
          Addresses.parse(good).getPort());
    }
    for (String bad :
        List.of(
            "",
            ":1",
            "localhost:1",
            "127.0.0.1",
            "127.0.0.1:0",
            "127.0.0.1:65536",
            "127.0.0.1:-1",
            "::1:7400",
            "[localhost]:1",
            "1.2.3:4",
            "999.1.1.1:1")) {
      assertNull(Addresses.parse(bad), bad);
    }
  }
}
