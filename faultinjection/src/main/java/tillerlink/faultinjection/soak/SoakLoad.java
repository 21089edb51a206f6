package tillerlink.faultinjection.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import tillerlink.fakes.HttpResponseParser;
import tillerlink.faultinjection.soak.SoakSettings.RequestClass;

/**
 * The clients of a soak run: regular ones, and some that disconnect, cancel, pipeline requests,
 * write slowly, keep connections idle, or send requests all at once.
 */
final class SoakLoad {
  /** The estimated work of each request, in milliseconds on one core. */
  static final double ESTIMATE_MS = 50;

  private static final int MAX_RECONNECTS = 3;
  private static final int FLOOD_REQUESTS = 40;
  private static final int CONNECT_TIMEOUT_MS = 2_000;
  private static final int BUFFER_BYTES = 4096;
  private static final List<RequestClass> REQUEST_CLASSES = List.of(RequestClass.values());
  private static final List<ClientBehaviour> BEHAVIOURS = List.of(ClientBehaviour.values());
  private static final int PIPELINED = 3;
  private static final long SLOW_WRITE_PAUSE_MS = 60;
  private static final String HEALTH_CHECK = "GET /healthz HTTP/1.1\r\nHost: soak\r\n\r\n";
  private static final int SUBJECTS = 4;

  /** The behaviour of a client. */
  enum ClientBehaviour {
    REGULAR,
    DISCONNECTS_AT_ONCE,
    CANCELS,
    PIPELINES,
    WRITES_SLOWLY,
    KEEPS_IDLE
  }

  private final SoakGateways gateways;
  private final SoakOracle oracle;
  private final SoakClock clock;
  private final double perSecond;
  private final long seed;
  private final AtomicInteger requestIds = new AtomicInteger();
  private final ExecutorService clients =
      Executors.newCachedThreadPool(
          work -> {
            Thread thread = new Thread(null, work, "client", 128 * 1024);
            thread.setDaemon(true);
            return thread;
          });
  private volatile boolean ended;

  SoakLoad(SoakGateways gateways, SoakOracle oracle, SoakClock clock, double perSecond, long seed) {
    this.gateways = gateways;
    this.oracle = oracle;
    this.clock = clock;
    this.perSecond = perSecond;
    this.seed = seed;
  }

  void begin() {
    for (int i = 0; i < gateways.count(); i++) {
      int gateway = i;
      clients.execute(() -> generate(gateway, new SplittableRandom(seed * 31 + gateway)));
    }
  }

  private void generate(int gateway, RandomGenerator random) {
    while (!ended) {
      SoakGateways.pause((long) (-Math.log(1 - random.nextDouble()) / perSecond * 1000));
      if (!ended && gateways.serves(gateway)) {
        RequestClass requestClass = REQUEST_CLASSES.get(random.nextInt(REQUEST_CLASSES.size()));
        ClientBehaviour behaviour =
            random.nextInt(3) > 0
                ? ClientBehaviour.REGULAR
                : BEHAVIOURS.get(random.nextInt(BEHAVIOURS.size()));
        start(
            gateway, requestClass, behaviour, random.nextInt(SUBJECTS), random.nextLong(50, 1500));
      }
    }
  }

  /** Sends many requests to a gateway at once. */
  void flood(int gateway) {
    for (int i = 0; i < FLOOD_REQUESTS && gateways.serves(gateway); i++) {
      start(gateway, RequestClass.LOOK, ClientBehaviour.REGULAR, 0, 0);
    }
  }

  private void start(
      int gateway,
      RequestClass requestClass,
      ClientBehaviour behaviour,
      int subject,
      long pauseMs) {
    String id = String.format("%016x", requestIds.incrementAndGet());
    Client client = new Client(id, gateway, requestClass, "s" + subject, behaviour, pauseMs);
    clients.execute(client::run);
  }

  /** Stops starting clients, and waits for those that run. */
  void end() {
    ended = true;
    clients.shutdown();
    try {
      clients.awaitTermination(SoakSettings.DEADLINE_MS + 4_000, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A client that sends one request and follows it to its final response. */
  private final class Client {
    private final String id;
    private final int gateway;
    private final RequestClass requestClass;
    private final String subject;
    private final ClientBehaviour behaviour;
    private final long pauseMs;
    private final int incarnation;
    private boolean submitted;

    Client(
        String id,
        int gateway,
        RequestClass requestClass,
        String subject,
        ClientBehaviour behaviour,
        long pauseMs) {
      this.id = id;
      this.gateway = gateway;
      this.requestClass = requestClass;
      this.subject = subject;
      this.behaviour = behaviour;
      this.pauseMs = pauseMs;
      incarnation = gateways.incarnation(gateway);
    }

    void run() {
      try {
        submit(behaviour == ClientBehaviour.KEEPS_IDLE);
      } catch (IOException e) {
        failed(e.toString());
      }
    }

    /** Reports a lost connection, which is excused if the gateway was restarted or killed. */
    private void failed(String description) {
      if (!submitted) {
        return;
      }
      if (gateways.incarnation(gateway) != incarnation) {
        oracle.excused(id);
      } else {
        oracle.connectionLost(id, description);
      }
    }

    private void submit(boolean keepsIdle) throws IOException {
      try (HttpConnection connection = new HttpConnection(gateways.port(gateway))) {
        if (keepsIdle) {
          connection.write(HEALTH_CHECK);
          connection.read();
          SoakGateways.pause(4 * pauseMs);
        }
        if (keepsIdle ? connection.isClosedByPeer() : !gateways.serves(gateway)) {
          return;
        }
        send(connection);
        if (behaviour == ClientBehaviour.DISCONNECTS_AT_ONCE) {
          oracle.clientDisconnected(id, clock.now());
          return;
        }
        HttpResponseParser.Response response = connection.read();
        if (response == null && keepsIdle) {
          retryAfterIdleClose();
          return;
        }
        follow(connection, response);
      }
    }

    /**
     * Sends the request again on a new connection, if the gateway accepts any. The gateway closed
     * the idle connection while the request was on its way.
     */
    private void retryAfterIdleClose() throws IOException {
      oracle.excused(id);
      if (gateways.serves(gateway)) {
        submitted = false;
        try (HttpConnection connection = new HttpConnection(gateways.port(gateway))) {
          send(connection);
          follow(connection, connection.read());
        }
      }
    }

    private void send(HttpConnection connection) throws IOException {
      String request = request();
      if (behaviour == ClientBehaviour.WRITES_SLOWLY) {
        for (int at = 0; at < request.length() - 1; at += request.length() / 5) {
          connection.write(
              request.substring(at, Math.min(request.length() - 1, at + request.length() / 5)));
          SoakGateways.pause(SLOW_WRITE_PAUSE_MS);
        }
        request = request.substring(request.length() - 1);
      }
      double at = clock.now();
      if (!submitted) {
        oracle.submitted(id, gateway, requestClass, subject, at, SoakSettings.DEADLINE_MS);
      }
      submitted = true;
      connection.write(request);
      for (int i = 0; behaviour == ClientBehaviour.PIPELINES && i < PIPELINED; i++) {
        connection.read();
      }
    }

    private String request() {
      String body = "SELECT a FROM t_" + subject.substring(1) + ".x";
      return (behaviour == ClientBehaviour.PIPELINES ? HEALTH_CHECK.repeat(PIPELINED) : "")
          + "POST /v1/"
          + requestClass.wireName()
          + " HTTP/1.1\r\nHost: soak\r\nX-Correlation-Id: "
          + id
          + "\r\nX-Deadline-Ms: "
          + SoakSettings.DEADLINE_MS
          + "\r\nX-Estimate-Ms: "
          + ESTIMATE_MS
          + (requestClass.ordered ? "\r\nX-Subject: " + subject : "")
          + "\r\nX-Operation-Key: k"
          + id
          + "\r\nContent-Length: "
          + body.length()
          + "\r\n\r\n"
          + body;
    }

    /** Polls until the final response, and opens a new connection when one is lost. */
    private void follow(HttpConnection first, HttpResponseParser.Response submitResponse)
        throws IOException {
      HttpResponseParser.Response response = submitResponse;
      HttpConnection connection = first;
      int reconnects = 0;
      try {
        while (response == null || response.continuationPath() != null) {
          if (response == null) {
            if (reconnects++ == MAX_RECONNECTS
                || !SoakGateways.isListening(gateways.port(gateway))) {
              failed("connection closed without a response");
              return;
            }
            if (connection != first) {
              connection.close();
            }
            connection = new HttpConnection(gateways.port(gateway));
          } else if (behaviour == ClientBehaviour.CANCELS) {
            SoakGateways.pause(pauseMs / 4);
            cancel(response.continuationPath());
            return;
          }
          connection.write("GET /v1/calls/" + id + " HTTP/1.1\r\nHost: soak\r\n\r\n");
          response = connection.read();
        }
        oracle.answered(id, answer(response), clock.now());
      } finally {
        if (connection != first) {
          connection.close();
        }
      }
    }

    private static SoakOracle.Answer answer(HttpResponseParser.Response response) {
      if (response.status() == 200) {
        return SoakOracle.Answer.SERVED;
      }
      return response.status() == 503
              || response.status() == 429
              || response.body().contains("\"Full\"")
          ? SoakOracle.Answer.REFUSED
          : SoakOracle.Answer.FAILED;
    }

    private void cancel(String path) throws IOException {
      try (HttpConnection connection = new HttpConnection(gateways.port(gateway))) {
        oracle.clientDisconnected(id, clock.now());
        connection.write("DELETE " + path + " HTTP/1.1\r\nHost: soak\r\n\r\n");
        connection.read();
      }
    }
  }

  /** A connection from a client to a gateway. */
  private static final class HttpConnection implements AutoCloseable {
    private final Socket socket = new Socket();
    private final HttpResponseParser parser = new HttpResponseParser();

    HttpConnection(int port) throws IOException {
      socket.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
      socket.setTcpNoDelay(true);
    }

    void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns whether the gateway has closed the idle connection. */
    boolean isClosedByPeer() throws IOException {
      socket.setSoTimeout(1);
      try {
        return socket.getInputStream().read() < 0;
      } catch (SocketTimeoutException e) {
        return false;
      }
    }

    /** Reads the next response; returns null if the connection was closed. */
    HttpResponseParser.Response read() throws IOException {
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      socket.setSoTimeout((int) Math.max(1, SoakSettings.DEADLINE_MS + 2_000));
      try {
        HttpResponseParser.Response response = parser.next();
        while (response == null) {
          int count = in.read(buffer);
          if (count < 0) {
            return null;
          }
          parser.feed(Arrays.copyOf(buffer, count));
          response = parser.next();
        }
        return response;
      } catch (SocketTimeoutException e) {
        throw new IOException("no response within the read timeout", e);
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
