package tillerlink.net.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.AbstractQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import tillerlink.DiscoveryAnswers;
import tillerlink.SharedSettings;
import tillerlink.model.Engine.Status;
import tillerlink.net.io.MinaDriver;
import tillerlink.net.state.Gateway;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EndpointWatchEvent;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.policy.DefaultDispatchPolicy;

/**
 * A gateway on real loopback connections whose peers a test plays line by line. Time stands still
 * until the test lets it pass, and an iteration of the event loop can be held open until all that
 * is to be in it has come: so an order that is rare happens each time. Every wait is for something
 * that is seen, and bounded.
 */
final class Loopback implements Closeable {
  static final int PATIENCE_MS = 10_000;
  private static final long TENTHS = 10;
  private static final long CONFIRM_STEP_MS = 25;
  private static final long START = 17_000_000_000_000L;
  private static final InetAddress HERE = InetAddress.getLoopbackAddress();

  final List<ServerSocket> engines = new ArrayList<>();
  final DatagramSocket discoveryService;
  private final List<Closeable> open = new ArrayList<>();
  private final AtomicLong now = new AtomicLong(START);
  private final AtomicLong iterationsDone = new AtomicLong();
  private final EventLoop eventLoop = new EventLoop(now::get);
  private final MinaDriver driver;
  private final InetSocketAddress listen;
  private final Thread thread;
  private final Gate gate = new Gate();
  private volatile boolean end;
  private Gateway gateway;
  private CountDownLatch heldIteration;

  Loopback(int engineCount) throws IOException {
    this(engineCount, settings -> {});
  }

  /**
   * @param changed changes the settings, which are those of the first days of the platform's pages
   *     but for the request classes
   */
  Loopback(int engineCount, Consumer<Map<String, Object>> changed) throws IOException {
    discoveryService = new DatagramSocket(new InetSocketAddress(HERE, 0));
    discoveryService.setSoTimeout(PATIENCE_MS);
    List<EndpointEntry> known = new ArrayList<>();
    for (int i = 0; i < engineCount; i++) {
      ServerSocket engine = new ServerSocket(0, 50, HERE);
      engine.setSoTimeout(PATIENCE_MS);
      engines.add(engine);
      known.add(
          new EndpointEntry(
              "e" + (i + 1),
              "127.0.0.1",
              engine.getLocalPort(),
              "east",
              "std",
              0,
              Status.READY,
              1,
              0));
    }
    Map<String, Object> settings = TestedSettings.plain();
    changed.accept(settings);
    try (ServerSocket free = new ServerSocket(0, 1, HERE)) {
      listen = new InetSocketAddress(HERE, free.getLocalPort());
    }
    GatewayConfig config =
        new GatewayConfig(
            "n0",
            listen,
            (InetSocketAddress) discoveryService.getLocalSocketAddress(),
            7,
            1024,
            settings,
            List.of(new EndpointWatchEvent(1, true, known)));
    driver =
        new MinaDriver(
            gate,
            config.resolver(),
            bytes -> gateway.onDiscoveryDatagram(bytes),
            channel -> gateway.onClientConnected(channel),
            config.maxClients(),
            now::get);
    gateway = new Gateway(config, DefaultDispatchPolicy::new, driver, now.get());
    driver.listen(listen);
    thread = new Thread(this::run, "event loop");
    thread.setDaemon(true);
    thread.start();
    confirmEndpointList();
  }

  /**
   * The discovery service answers the first question with what is known, so that attempts may go
   * out.
   */
  private void confirmEndpointList() throws IOException {
    discoveryService.setSoTimeout(1);
    DatagramPacket question = null;
    while (question == null) {
      advance(CONFIRM_STEP_MS, CONFIRM_STEP_MS);
      try {
        question = receiveQuery(discoveryService);
      } catch (SocketTimeoutException e) {
        assertTrue(now.get() < START + PATIENCE_MS * TENTHS, "no question comes");
      }
    }
    discoveryService.setSoTimeout(PATIENCE_MS);
    String[] lines = new String[engines.size()];
    for (int i = 0; i < lines.length; i++) {
      lines[i] =
          "e" + (i + 1) + " ready 127.0.0.1:" + engines.get(i).getLocalPort() + " east std 0 0";
    }
    byte[] list = DiscoveryAnswers.of(DiscoveryAnswers.queryId(question.getData()), 1, lines);
    discoveryService.send(new DatagramPacket(list, list.length, question.getSocketAddress()));
    await(() -> ask(Gateway::listConfirmed), "the list is not confirmed");
  }

  private void run() {
    try {
      eventLoop.run(
          gateway,
          () -> {
            iterationsDone.incrementAndGet();
            return end;
          });
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // ---- iterations and time ----

  /**
   * Holds the iteration that begins now: what comes from here on is processed in it, once {@link
   * #releaseIteration} is called.
   */
  void holdIteration() throws InterruptedException {
    CountDownLatch entered = new CountDownLatch(1);
    CountDownLatch latch = new CountDownLatch(1);
    heldIteration = latch;
    eventLoop.queue.add(
        () -> {
          entered.countDown();
          try {
            latch.await(PATIENCE_MS, TimeUnit.MILLISECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    assertTrue(entered.await(PATIENCE_MS, TimeUnit.MILLISECONDS));
  }

  /** Waits until so many events wait for the iteration that is held. */
  void awaitEvents(int events) {
    await(
        () -> eventLoop.queue.size() >= events, "only " + eventLoop.queue.size() + " events came");
  }

  void releaseIteration() {
    heldIteration.countDown();
    runIterations();
  }

  /** Only so many further events are delivered; whoever reads or connects waits with the next. */
  void deliverOnly(int events) {
    gate.deliverable.drainPermits();
    gate.deliverable.release(events);
  }

  /** The others are delivered. */
  void deliverAll() {
    gate.deliverable.release(Gate.ALL);
    runIterations();
  }

  /**
   * After so many events the next is delayed, and those behind it are delivered, as if it came
   * late.
   */
  void delayEventAfter(int events) {
    gate.until.set(events);
  }

  /** Whether the event that is delayed has come. */
  boolean hasDelayedEvent() {
    return gate.delayed != null;
  }

  /** The delayed event comes now. */
  void deliverDelayedEvent() {
    eventLoop.queue.add(gate.delayed);
  }

  /** Runs two iterations, so that what the first ordered has been done. */
  void runIterations() {
    for (int i = 0; i < 2; i++) {
      CountDownLatch entered = new CountDownLatch(1);
      eventLoop.queue.add(entered::countDown);
      try {
        assertTrue(entered.await(PATIENCE_MS, TimeUnit.MILLISECONDS));
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
      long done = iterationsDone.get();
      await(() -> iterationsDone.get() > done, "the iteration does not end");
    }
  }

  /** Time passes, with iterations at the end of each so many milliseconds. */
  void advance(long ms, long step) {
    for (long gone = 0; gone < ms; gone += step) {
      now.addAndGet(step * TENTHS);
      runIterations();
    }
  }

  long now() {
    return now.get();
  }

  <T> T ask(Function<Gateway, T> question) {
    List<T> answer = new ArrayList<>();
    eventLoop.queue.add(() -> answer.add(question.apply(gateway)));
    runIterations();
    return answer.get(0);
  }

  void moveDiscoveryService(InetSocketAddress moved) {
    eventLoop.queue.add(
        () -> {
          driver.setDiscoveryAddress(moved);
          gateway.discoveryAddressChanged();
        });
    runIterations();
  }

  static void await(BooleanSupplier what, String otherwise) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
    while (!what.getAsBoolean()) {
      assertTrue(System.nanoTime() < until, otherwise);
      Thread.onSpinWait();
    }
  }

  // ---- peers ----

  Peer client() throws IOException {
    Socket socket = new Socket(HERE, listen.getPort());
    return peer(socket);
  }

  /** A client that hands a statement in and has the path of its result. */
  Peer posted(String id, String requestClass, int deadlineMs) throws IOException {
    Peer client = client();
    client.post(id, requestClass, deadlineMs);
    client.expectBody("{\"continue\":\"/v1/calls/" + id + "\"}");
    return client;
  }

  /** The next connection that comes up to an engine. */
  Peer engine(int place) throws IOException {
    return peer(engines.get(place).accept());
  }

  /** No further connection has come up to an engine. */
  void assertNoFurtherConnection(int place) throws IOException {
    engines.get(place).setSoTimeout(1);
    assertThrows(SocketTimeoutException.class, () -> engines.get(place).accept());
    engines.get(place).setSoTimeout(PATIENCE_MS);
  }

  private Peer peer(Socket socket) throws IOException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(PATIENCE_MS);
    open.add(socket);
    return new Peer(socket);
  }

  /** The next query to the discovery service. */
  DatagramPacket receiveQuery(DatagramSocket service) throws IOException {
    DatagramPacket packet = new DatagramPacket(new byte[512], 512);
    service.receive(packet);
    return packet;
  }

  @Override
  public void close() throws IOException {
    end = true;
    if (heldIteration != null) {
      heldIteration.countDown();
    }
    eventLoop.queue.add(() -> {});
    for (Closeable one : open) {
      one.close();
    }
    for (ServerSocket one : engines) {
      one.close();
    }
    discoveryService.close();
    driver.close();
  }

  /** Where what was read or came up is handed to the event loop. */
  private final class Gate extends AbstractQueue<Runnable> {
    private static final int ALL = 1 << 20;
    private final Semaphore deliverable = new Semaphore(ALL);
    private final AtomicInteger until = new AtomicInteger(-1);
    private volatile Runnable delayed;

    @Override
    public boolean offer(Runnable event) {
      try {
        deliverable.tryAcquire(PATIENCE_MS, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      if (until.getAndUpdate(n -> n < 0 ? n : n - 1) == 0) {
        delayed = event;
        return true;
      }
      return eventLoop.queue.add(event);
    }

    @Override
    public Runnable poll() {
      throw new UnsupportedOperationException();
    }

    @Override
    public Runnable peek() {
      throw new UnsupportedOperationException();
    }

    @Override
    public Iterator<Runnable> iterator() {
      throw new UnsupportedOperationException();
    }

    @Override
    public int size() {
      return eventLoop.queue.size();
    }
  }

  /** What these tests set. */
  static final class TestedSettings {
    private TestedSettings() {}

    static Map<String, Object> plain() {
      Map<String, Object> settings = new HashMap<>();
      settings.put("caps", SharedSettings.caps());
      settings.put(
          "profiles",
          List.of(
              requestClass("look", "repeatable", 0),
              requestClass("book", "once", 0),
              requestClass("load", "by_key", 150_000L)));
      settings.put("models", List.of("std"));
      settings.put("zones", List.of("east"));
      settings.put("tick_us", 5000L);
      settings.put("guarantees", Map.of("drain_grace_us", 400_000L));
      settings.put("family_info", Map.of("kind_cores", List.of(8L), "tells_every_us", 2_000_000L));
      return settings;
    }

    static Map<String, Object> requestClass(String name, String semantics, long windowUs) {
      return Map.of(
          "name",
          name,
          "semantics",
          semantics,
          "group",
          "all",
          "window_us",
          windowUs,
          "aim_us",
          1_000_000L,
          "hard_limit_us",
          5_000_000L,
          "worth",
          1.0,
          "late_worth",
          0.5);
    }
  }

  /** The other end of a connection. */
  static final class Peer {
    final Socket socket;
    private final InputStream in;

    Peer(Socket socket) throws IOException {
      this.socket = socket;
      in = socket.getInputStream();
    }

    void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    void post(String id, String requestClass, int deadlineMs) throws IOException {
      send(postRequest(id, requestClass, deadlineMs));
    }

    static String postRequest(String id, String requestClass, int deadlineMs) {
      return "POST /v1/"
          + requestClass
          + " HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: "
          + id
          + "\r\nX-Deadline-Ms: "
          + deadlineMs
          + "\r\nX-Estimate-Ms: 100\r\nX-Operation-Key: k"
          + id
          + "\r\nContent-Length: 8\r\n\r\nSELECT 1";
    }

    void get(String id) throws IOException {
      send("GET /v1/calls/" + id + " HTTP/1.1\r\nHost: a\r\n\r\n");
    }

    /** The next line, without its end; null where the connection has ended. */
    String readLine() throws IOException {
      StringBuilder line = new StringBuilder();
      for (int next = in.read(); next != '\n'; next = in.read()) {
        if (next < 0) {
          return line.length() == 0 ? null : line.toString();
        }
        line.append((char) next);
      }
      return line.toString().strip();
    }

    /** The body of the next answer. */
    String readBody() throws IOException {
      int length = 0;
      for (String line = readLine(); !line.isEmpty(); line = readLine()) {
        length =
            line.startsWith("Content-Length: ") ? Integer.parseInt(line.substring(16)) : length;
      }
      return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    void expectBody(String body) throws IOException {
      assertEquals(body, readBody());
    }

    /** The id of the next attempt; what else is said on the way is passed over. */
    String nextAttemptId() throws IOException {
      String line = readLine();
      while (line != null && !line.startsWith("want ")) {
        line = readLine();
      }
      String statement = line == null ? null : readLine();
      return statement == null ? null : line.split(" ", -1)[1];
    }

    /** The other end said all that it had to say, and ended without a reset. */
    void expectEnd() throws IOException {
      assertEquals(-1, in.read());
    }

    /**
     * The same, and it was no close of both ways: what is said goes on being read, where a reset
     * would break it.
     */
    void expectHalfClose() throws IOException {
      expectEnd();
      for (int i = 0; i < 20; i++) {
        send("more");
      }
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    void close() throws IOException {
      socket.close();
    }
  }
}
