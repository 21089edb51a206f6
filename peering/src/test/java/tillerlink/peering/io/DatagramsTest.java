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
  private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
  private final List<byte[]> received = new ArrayList<>();

  private static String free() throws IOException {
    try (DatagramSocket any = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + any.getLocalPort();
    }
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private void runNext() throws InterruptedException {
    Runnable task = tasks.poll(30, TimeUnit.SECONDS);
    assertTrue(task != null, "nothing came");
    task.run();
  }

  /**
   * Bytes arrive unchanged, a datagram that is too long shows as such, and receivers do not run on
   * MINA's thread.
   */
  @Test
  void datagramsGoBothWaysAndOversizedOnesShow() throws Exception {
    String one = free();
    String other = free();
    try (Datagrams first =
            new Datagrams(one, 100, tasks::add, (from, bytes) -> received.add(bytes));
        Datagrams second =
            new Datagrams(
                other,
                100,
                tasks::add,
                (from, bytes) -> {
                  received.add(bytes);
                  first.send(from, bytes);
                })) {
      assertTrue(second.send(one, new byte[] {1, 2}));
      runNext();
      assertTrue(first.send(other, new byte[] {3}));
      runNext();
      runNext();
      assertArrayEquals(new byte[] {1, 2}, received.get(0));
      assertArrayEquals(new byte[] {3}, received.get(1));
      assertArrayEquals(new byte[] {3}, received.get(2));
      assertTrue(first.send(other, new byte[5000]));
      runNext();
      assertEquals(101, received.get(3).length);
      assertFalse(first.send("nowhere:1", new byte[1]));
      assertThrows(
          IOException.class, () -> new Datagrams(one, 100, tasks::add, (from, bytes) -> {}));
    }
  }

  /**
   * Of datagrams that come faster than they are taken the newest are dropped, and those queued are
   * taken.
   */
  @Test
  void receivedDatagramsAreBounded() throws Exception {
    String at = free();
    InetSocketAddress to = Addresses.parse(at);
    try (Datagrams socket =
            new Datagrams(at, 100, tasks::add, (from, bytes) -> received.add(bytes));
        DatagramSocket sender = new DatagramSocket()) {
      for (int i = 0; socket.dropped() == 0; i++) {
        assertTrue(i < 2_000_000, "nothing was dropped, and " + tasks.size() + " wait");
        sender.send(new DatagramPacket(new byte[10], 10, to));
      }
      assertEquals(2048, tasks.size());
      runNext();
      assertEquals(1, received.size());
    }
  }

  /** Bounds the memory that ever new addresses take. */
  @Test
  void leastRecentlyUsedSessionsAreClosed() {
    RecentSessions recent = new RecentSessions();
    List<Integer> closed = new ArrayList<>();
    List<IoSession> sessions = new ArrayList<>();
    for (int i = 0; i < RecentSessions.MAX_SESSIONS + 2; i++) {
      int number = i;
      InetSocketAddress at = loopback(1 + i);
      sessions.add(
          (IoSession)
              Proxy.newProxyInstance(
                  getClass().getClassLoader(),
                  new Class<?>[] {IoSession.class},
                  (proxy, method, values) ->
                      switch (method.getName()) {
                        case "getRemoteAddress" -> at;
                        case "closeNow" -> {
                          closed.add(number);
                          yield null;
                        }
                        case "equals" -> proxy == values[0];
                        default -> null;
                      }));
      recent.put(sessions.get(i));
      recent.recycle(loopback(1), 0);
    }
    assertEquals(List.of(1, 2), closed);
    assertNull(recent.recycle(loopback(2), 0));
    recent.remove(sessions.get(0));
    assertNull(recent.recycle(loopback(1), 0));
  }

  @Test
  void onlyIpAddressesWithAPortAreParsed() {
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
