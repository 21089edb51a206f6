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
 * until the test lets it pass, and a turn can be held open until all that is to be in it has come:
 * so an order that is rare happens each time. Every wait is for something that is seen, and
 * bounded.
 */
final class Loopback implements Closeable {
  static final int PATIENCE_MS = 10_000;
  private static final long TENTHS = 10;
  private static final long CONFIRM_STEP_MS = 25;
  private static final long START = 17_000_000_000_000L;
  private static final InetAddress HERE = InetAddress.getLoopbackAddress();

  final List<ServerSocket> engines = new ArrayList<>();
  final DatagramSocket names;
  private final List<Closeable> open = new ArrayList<>();
  private final AtomicLong now = new AtomicLong(START);
  private final AtomicLong turnsDone = new AtomicLong();
  private final EventLoop turns = new EventLoop(now::get);
  private final MinaDriver driver;
  private final InetSocketAddress listen;
  private final Thread thread;
  private final Gate gate = new Gate();
  private volatile boolean end;
  private Gateway gateway;
  private CountDownLatch held;

  Loopback(int engineCount) throws IOException {
    this(engineCount, terms -> {});
  }

  /**
   * @param changed changes the settings, which are those of the first days of the platform's pages
   *     but for the request classes
   */
  Loopback(int engineCount, Consumer<Map<String, Object>> changed) throws IOException {
    names = new DatagramSocket(new InetSocketAddress(HERE, 0));
    names.setSoTimeout(PATIENCE_MS);
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
    Map<String, Object> terms = Terms.plain();
    changed.accept(terms);
    try (ServerSocket free = new ServerSocket(0, 1, HERE)) {
      listen = new InetSocketAddress(HERE, free.getLocalPort());
    }
    GatewayConfig assignment =
        new GatewayConfig(
            "n0",
            listen,
            (InetSocketAddress) names.getLocalSocketAddress(),
            7,
            1024,
            terms,
            List.of(new EndpointWatchEvent(1, true, known)));
    driver =
        new MinaDriver(
            gate,
            assignment.resolver(),
            bytes -> gateway.onDiscoveryDatagram(bytes),
            channel -> gateway.onClientConnected(channel),
            assignment.maxClients(),
            now::get);
    gateway = new Gateway(assignment, DefaultDispatchPolicy::new, driver, now.get());
    driver.listen(listen);
    thread = new Thread(this::run, "turns");
    thread.setDaemon(true);
    thread.start();
    confirmList();
  }

  /**
   * The discovery service answers the first question with what is known, so that attempts may go
   * out.
   */
  private void confirmList() throws IOException {
    names.setSoTimeout(1);
    DatagramPacket question = null;
    while (question == null) {
      pass(CONFIRM_STEP_MS, CONFIRM_STEP_MS);
      try {
        question = question(names);
      } catch (SocketTimeoutException e) {
        assertTrue(now.get() < START + PATIENCE_MS * TENTHS, "no question comes");
      }
    }
    names.setSoTimeout(PATIENCE_MS);
    String[] lines = new String[engines.size()];
    for (int i = 0; i < lines.length; i++) {
      lines[i] =
          "e" + (i + 1) + " ready 127.0.0.1:" + engines.get(i).getLocalPort() + " east std 0 0";
    }
    byte[] list = DiscoveryAnswers.of(DiscoveryAnswers.queryId(question.getData()), 1, lines);
    names.send(new DatagramPacket(list, list.length, question.getSocketAddress()));
    await(() -> ask(Gateway::listConfirmed), "the list is not confirmed");
  }

  private void run() {
    try {
      turns.run(
          gateway,
          () -> {
            turnsDone.incrementAndGet();
            return end;
          });
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // ---- turns and time ----

  /**
   * Holds the turn that begins now: what comes from here on is told in it, once {@link #letGo} is
   * called.
   */
  void hold() throws InterruptedException {
    CountDownLatch entered = new CountDownLatch(1);
    CountDownLatch latch = new CountDownLatch(1);
    held = latch;
    turns.queue.add(
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

  /** Waits until so many events wait for the turn that is held. */
  void came(int events) {
    await(() -> turns.queue.size() >= events, "only " + turns.queue.size() + " events came");
  }

  void letGo() {
    held.countDown();
    turn();
  }

  /** Only so many further events are told; whoever reads or connects waits with the next. */
  void tellOnly(int events) {
    gate.left.drainPermits();
    gate.left.release(events);
  }

  /** The others are told. */
  void tellAll() {
    gate.left.release(Gate.ALL);
    turn();
  }

  /**
   * After so many events the next is kept back, and those behind it are told, as if it came late.
   */
  void keepBackAfter(int events) {
    gate.until.set(events);
  }

  /** What was kept back has come; true if there was anything. */
  boolean keptBack() {
    return gate.late != null;
  }

  /** It comes now. */
  void tellKeptBack() {
    turns.queue.add(gate.late);
  }

  /** Two turns are taken, so that what the first ordered has been done. */
  void turn() {
    for (int i = 0; i < 2; i++) {
      CountDownLatch in = new CountDownLatch(1);
      turns.queue.add(in::countDown);
      try {
        assertTrue(in.await(PATIENCE_MS, TimeUnit.MILLISECONDS));
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
      long done = turnsDone.get();
      await(() -> turnsDone.get() > done, "the turn does not end");
    }
  }

  /** Time passes, with a turn at the end of each so many milliseconds. */
  void pass(long ms, long step) {
    for (long gone = 0; gone < ms; gone += step) {
      now.addAndGet(step * TENTHS);
      turn();
    }
  }

  long now() {
    return now.get();
  }

  <T> T ask(Function<Gateway, T> question) {
    List<T> answer = new ArrayList<>();
    turns.queue.add(() -> answer.add(question.apply(gateway)));
    turn();
    return answer.get(0);
  }

  void resolver(InetSocketAddress moved) {
    turns.queue.add(
        () -> {
          driver.setDiscoveryAddress(moved);
          gateway.discoveryAddressChanged();
        });
    turn();
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
    client.heard("{\"continue\":\"/v1/calls/" + id + "\"}");
    return client;
  }

  /** The next connection that comes up to an engine. */
  Peer engine(int place) throws IOException {
    return peer(engines.get(place).accept());
  }

  /** No further connection has come up to an engine. */
  void nobodyElse(int place) throws IOException {
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

  /** The next question to the discovery service. */
  DatagramPacket question(DatagramSocket at) throws IOException {
    DatagramPacket packet = new DatagramPacket(new byte[512], 512);
    at.receive(packet);
    return packet;
  }

  @Override
  public void close() throws IOException {
    end = true;
    if (held != null) {
      held.countDown();
    }
    turns.queue.add(() -> {});
    for (Closeable one : open) {
      one.close();
    }
    for (ServerSocket one : engines) {
      one.close();
    }
    names.close();
    driver.close();
  }

  /** Where what was read or came up is told to the turns. */
  private final class Gate extends AbstractQueue<Runnable> {
    private static final int ALL = 1 << 20;
    private final Semaphore left = new Semaphore(ALL);
    private final AtomicInteger until = new AtomicInteger(-1);
    private volatile Runnable late;

    @Override
    public boolean offer(Runnable event) {
      try {
        left.tryAcquire(PATIENCE_MS, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      if (until.getAndUpdate(n -> n < 0 ? n : n - 1) == 0) {
        late = event;
        return true;
      }
      return turns.queue.add(event);
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
      return turns.queue.size();
    }
  }

  /** What these tests set. */
  static final class Terms {
    private Terms() {}

    static Map<String, Object> plain() {
      Map<String, Object> terms = new java.util.HashMap<>();
      terms.put("caps", SharedSettings.caps());
      terms.put(
          "profiles",
          List.of(
              requestClass("look", "repeatable", 0),
              requestClass("book", "once", 0),
              requestClass("load", "by_key", 150_000L)));
      terms.put("models", List.of("std"));
      terms.put("zones", List.of("east"));
      terms.put("tick_us", 5000L);
      terms.put("guarantees", Map.of("drain_grace_us", 400_000L));
      terms.put("family_info", Map.of("kind_cores", List.of(8L), "tells_every_us", 2_000_000L));
      return terms;
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

    void say(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    void post(String id, String requestClass, int deadlineMs) throws IOException {
      say(posting(id, requestClass, deadlineMs));
    }

    static String posting(String id, String requestClass, int deadlineMs) {
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
      say("GET /v1/calls/" + id + " HTTP/1.1\r\nHost: a\r\n\r\n");
    }

    /** The next line, without its end; null where the connection has ended. */
    String line() throws IOException {
      StringBuilder line = new StringBuilder();
      for (int c = in.read(); c != '\n'; c = in.read()) {
        if (c < 0) {
          return line.length() == 0 ? null : line.toString();
        }
        line.append((char) c);
      }
      return line.toString().strip();
    }

    /** The body of the next answer. */
    String body() throws IOException {
      int length = 0;
      for (String line = line(); !line.isEmpty(); line = line()) {
        length =
            line.startsWith("Content-Length: ") ? Integer.parseInt(line.substring(16)) : length;
      }
      return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    void heard(String body) throws IOException {
      assertEquals(body, body());
    }

    /** The statement of the next attempt; what else is said on the way is passed over. */
    String wanted() throws IOException {
      String line = line();
      while (line != null && !line.startsWith("want ")) {
        line = line();
      }
      String statement = line == null ? null : line();
      return statement == null ? null : line.split(" ", -1)[1];
    }

    /** The other end said all that it had to say, and ended without a reset. */
    void ended() throws IOException {
      assertEquals(-1, in.read());
    }

    /**
     * The same, and it was no close of both ways: what is said goes on being read, where a reset
     * would break it.
     */
    void endedAndRead() throws IOException {
      ended();
      for (int i = 0; i < 20; i++) {
        say("more");
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
