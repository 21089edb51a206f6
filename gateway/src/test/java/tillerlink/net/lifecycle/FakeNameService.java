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
 * A fake discovery service for one gateway, over a network path that delays or loses answers. It
 * records when the gateway counts as notified of each drain: when an answer that states the drain
 * was sent, and no later than 1.5 s after the drain began.
 */
final class FakeNameService implements Closeable {
  private static final long MAX_NOTIFICATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

  private final DatagramSocket socket;
  private final ScheduledExecutorService delayedAnswers =
      Executors.newSingleThreadScheduledExecutor();

  /** The addresses of the engines by name. */
  private final Map<String, String> engines = new TreeMap<>();

  /**
   * The times at which the gateway counts as notified of the drain of an engine, as {@link
   * System#nanoTime} values.
   */
  private final Map<String, Long> notifiedAt = new TreeMap<>();

  private int serial = 1;
  private long delayMs;
  private long lossMs;

  /** The time until which answers are lost, as a {@link System#nanoTime} value. */
  private long lostUntil = System.nanoTime();

  FakeNameService() throws IOException {
    socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    Thread thread = new Thread(this::run, "names");
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return socket.getLocalPort();
  }

  /** Adds a ready engine. */
  synchronized void addReady(String engine, int port) {
    engines.put(engine, "127.0.0.1:" + port);
  }

  /** Delays every further answer. */
  synchronized void delayAnswers(long ms) {
    delayMs = ms;
  }

  /**
   * Begins the drain of an engine and loses answers.
   *
   * @param ms the time for which answers are lost, from the first one that states the drain
   */
  synchronized void beginDrainAndLoseAnswers(String engine, long ms) {
    beginDrain(engine);
    lossMs = ms;
  }

  /** Begins the drain of an engine. */
  synchronized void beginDrain(String engine) {
    serial++;
    notifiedAt.put(engine, System.nanoTime() + MAX_NOTIFICATION_NANOS);
  }

  /**
   * Returns when the gateway counts as notified of the drain of an engine.
   *
   * @return a {@link System#nanoTime} value; {@link Long#MAX_VALUE} if the engine does not drain
   */
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
        // The socket was closed, or the gateway has exited.
      }
    }
  }

  private synchronized void answer(DatagramPacket query) throws IOException {
    String[] lines =
        engines.entrySet().stream()
            .map(
                engine ->
                    engine.getKey()
                        + (notifiedAt.containsKey(engine.getKey()) ? " draining " : " ready ")
                        + engine.getValue()
                        + " east std 0 0")
            .toArray(String[]::new);
    byte[] list = DiscoveryAnswers.of(DiscoveryAnswers.queryId(query.getData()), serial, lines);
    long now = System.nanoTime();
    notifiedAt.replaceAll((engine, at) -> Math.min(at, now));
    if (lossMs > 0) {
      lostUntil = now + TimeUnit.MILLISECONDS.toNanos(lossMs);
      lossMs = 0;
    }
    if (now >= lostUntil) {
      DatagramPacket answer = new DatagramPacket(list, list.length, query.getSocketAddress());
      // An answer that cannot be sent counts as lost.
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
