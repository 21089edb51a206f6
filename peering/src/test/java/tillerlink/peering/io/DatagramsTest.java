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

  private static String freeAddress() throws IOException {
    try (DatagramSocket any = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + any.getLocalPort();
    }
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private void runNext() throws InterruptedException {
    Runnable task = tasks.poll(30, TimeUnit.SECONDS);
    assertTrue(task != null, "no datagram arrived within 30 s");
    task.run();
  }

  /**
   * Bytes arrive unchanged in both directions, a datagram that is too long arrives truncated to the
   * limit plus one byte, and receivers run as event-loop tasks instead of on MINA's thread.
   */
  @Test
  void datagramsArriveUnchangedAndOversizedOnesAreDetectable() throws Exception {
    String firstAddress = freeAddress();
    String secondAddress = freeAddress();
    try (Datagrams first =
            new Datagrams(firstAddress, 100, tasks::add, (from, bytes) -> received.add(bytes));
        Datagrams second =
            new Datagrams(
                secondAddress,
                100,
                tasks::add,
                (from, bytes) -> {
                  received.add(bytes);
                  first.send(from, bytes);
                })) {
      assertTrue(second.send(firstAddress, new byte[] {1, 2}));
      runNext();
      assertTrue(first.send(secondAddress, new byte[] {3}));
      runNext();
      runNext();
      assertArrayEquals(new byte[] {1, 2}, received.get(0));
      assertArrayEquals(new byte[] {3}, received.get(1));
      assertArrayEquals(new byte[] {3}, received.get(2));
      assertTrue(first.send(secondAddress, new byte[5000]));
      runNext();
      assertEquals(101, received.get(3).length);
      assertFalse(first.send("nowhere:1", new byte[1]));
      assertThrows(
          IOException.class,
          () -> new Datagrams(firstAddress, 100, tasks::add, (from, bytes) -> {}));
    }
  }

  /**
   * If datagrams arrive faster than the event loop handles them, the newest are dropped and the
   * queued ones are handled.
   */
  @Test
  void queuedDatagramsAreLimited() throws Exception {
    String at = freeAddress();
    InetSocketAddress to = Addresses.parse(at);
    try (Datagrams socket =
            new Datagrams(at, 100, tasks::add, (from, bytes) -> received.add(bytes));
        DatagramSocket sender = new DatagramSocket()) {
      for (int i = 0; socket.dropped() == 0; i++) {
        assertTrue(i < 2_000_000, "no datagram was dropped, with " + tasks.size() + " queued");
        sender.send(new DatagramPacket(new byte[10], 10, to));
      }
      assertEquals(2048, tasks.size());
      runNext();
      assertEquals(1, received.size());
    }
  }

  /** Guards against unbounded memory use if datagrams come from many different addresses. */
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
    for (String valid : List.of("127.0.0.1:1", "10.1.2.3:65535", "[::1]:7400")) {
      assertEquals(
          Integer.parseInt(valid.substring(valid.lastIndexOf(':') + 1)),
          Addresses.parse(valid).getPort());
    }
    for (String invalid :
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
      assertNull(Addresses.parse(invalid), invalid);
    }
  }
}
