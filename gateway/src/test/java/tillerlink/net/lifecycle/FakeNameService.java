package tillerlink.net.lifecycle;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import tillerlink.DiscoveryAnswers;

/**
 * A discovery service for one gateway, with a way to it that delays or loses answers. It notes when
 * each drain counts as notified: when an answer that holds it was sent, and 1.5 s after it happened
 * at the latest.
 */
final class FakeNameService implements Closeable {
  private static final long NOTIFIED_AT_THE_LATEST = TimeUnit.MILLISECONDS.toNanos(1500);

  private final DatagramSocket socket;
  private final ScheduledExecutorService delayedAnswers =
      Executors.newSingleThreadScheduledExecutor();

  /** Address by engine. */
  private final Map<String, String> engines = new TreeMap<>();

  /** When the drain of an engine counts as notified, in nanoseconds. */
  private final Map<String, Long> notifiedAt = new TreeMap<>();

  private int version = 1;
  private long delayMs;
  private long silentMs;

  /** Until then answers are sent and do not arrive. */
  private long lossyUntil = System.nanoTime();

  FakeNameService() throws IOException {
    socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    Thread thread = new Thread(this::run, "names");
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return socket.getLocalPort();
  }

  synchronized void ready(String engine, int port) {
    engines.put(engine, "127.0.0.1:" + port);
  }

  /** Every answer comes that much later than it is sent. */
  synchronized void delay(long ms) {
    delayMs = ms;
  }

  /**
   * An engine begins to drain now, and for so long from the first answer that tells it none
   * arrives.
   */
  synchronized void drainsWithAnswersLost(String engine, long ms) {
    drains(engine);
    silentMs = ms;
  }

  /** An engine begins to drain now. */
  synchronized void drains(String engine) {
    version++;
    notifiedAt.put(engine, System.nanoTime() + NOTIFIED_AT_THE_LATEST);
  }

  /** When its drain counts as notified; {@link Long#MAX_VALUE} if it does not drain. */
  synchronized long notifiedAt(String engine) {
    return notifiedAt.getOrDefault(engine, Long.MAX_VALUE);
  }

  private void run() {
    DatagramPacket packet = new DatagramPacket(new byte[512], 512);
    while (!socket.isClosed()) {
      try {
        socket.receive(packet);
        answer(packet);
      } catch (IOException e) {
        // It ends, or the gateway has gone.
      }
    }
  }

  private synchronized void answer(DatagramPacket question) throws IOException {
    String[] lines =
        engines.entrySet().stream()
            .map(
                engine ->
                    engine.getKey()
                        + (notifiedAt.containsKey(engine.getKey()) ? " draining " : " ready ")
                        + engine.getValue()
                        + " east std 0 0")
            .toArray(String[]::new);
    byte[] list = DiscoveryAnswers.of(DiscoveryAnswers.queryId(question.getData()), version, lines);
    long now = System.nanoTime();
    notifiedAt.replaceAll((engine, at) -> Math.min(at, now));
    if (silentMs > 0) {
      lossyUntil = now + TimeUnit.MILLISECONDS.toNanos(silentMs);
      silentMs = 0;
    }
    if (now >= lossyUntil) {
      DatagramPacket answer = new DatagramPacket(list, list.length, question.getSocketAddress());
      // One that could not be sent is as good as lost.
      Future<?> unused =
          delayedAnswers.schedule(
              () -> {
                socket.send(answer);
                return null;
              },
              delayMs,
              TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void close() {
    delayedAnswers.shutdownNow();
    socket.close();
  }
}
