package tillerlink.faultinjection.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import tillerlink.fakes.HttpResponseParser;
import tillerlink.faultinjection.soak.SoakTerms.RequestClass;

/**
 * The clients of a soak: usual ones, and such that leave, pipeline, write slowly, rest, or come all
 * at once.
 */
final class SoakLoad {
  /** What each request is said to need, in milliseconds on one core. */
  static final double ESTIMATE_MS = 50;

  private static final int FETCHES_MOST = 3;
  private static final int FLOOD = 40;
  private static final int CONNECT_MS = 2_000;
  private static final int PIECE = 4096;
  private static final int SUBJECTS = 4;

  /** How a client behaves. */
  enum Manner {
    USUAL,
    LEAVES_AT_ONCE,
    CANCELS,
    PIPELINES,
    WRITES_SLOWLY,
    RESTS
  }

  private final SoakGateways gateways;
  private final SoakOracle oracle;
  private final SoakClock clock;
  private final double perSecond;
  private final long seed;
  private final AtomicInteger ids = new AtomicInteger();
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
      clients.execute(() -> feed(gateway, new SplittableRandom(seed * 31 + gateway)));
    }
  }

  private void feed(int gateway, RandomGenerator chance) {
    while (!ended) {
      SoakGateways.pause((long) (-Math.log(1 - chance.nextDouble()) / perSecond * 1000));
      if (!ended && gateways.serves(gateway)) {
        RequestClass requestClass =
            RequestClass.values()[chance.nextInt(RequestClass.values().length)];
        Manner manner =
            chance.nextInt(3) > 0
                ? Manner.USUAL
                : Manner.values()[chance.nextInt(Manner.values().length)];
        one(gateway, requestClass, manner, chance.nextInt(SUBJECTS), chance.nextLong(50, 1500));
      }
    }
  }

  /** Many at once. */
  void flood(int gateway) {
    for (int i = 0; i < FLOOD && gateways.serves(gateway); i++) {
      one(gateway, RequestClass.LOOK, Manner.USUAL, 0, 0);
    }
  }

  private void one(int gateway, RequestClass requestClass, Manner manner, int subject, long stays) {
    String id = String.format("%016x", ids.incrementAndGet());
    Client client = new Client(id, gateway, requestClass, "s" + subject, manner, stays);
    clients.execute(client::run);
  }

  /** Those that are out have their time; then nobody comes any more. */
  void end() {
    ended = true;
    clients.shutdown();
    try {
      clients.awaitTermination(SoakTerms.DEADLINE_MS + 4_000, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** One request, from its connection to its answer. */
  private final class Client {
    private final String id;
    private final int gateway;
    private final RequestClass requestClass;
    private final String subject;
    private final Manner manner;
    private final long stays;
    private final int life;
    private double until;
    private boolean handedIn;

    Client(
        String id,
        int gateway,
        RequestClass requestClass,
        String subject,
        Manner manner,
        long stays) {
      this.id = id;
      this.gateway = gateway;
      this.requestClass = requestClass;
      this.subject = subject;
      this.manner = manner;
      this.stays = stays;
      life = gateways.life(gateway);
    }

    void run() {
      try {
        submit(manner == Manner.RESTS);
      } catch (IOException e) {
        failed(e.toString());
      }
    }

    /**
     * What broke a connection: its gateway was killed meanwhile, or it has cut the connection
     * itself.
     */
    private void failed(String words) {
      if (!handedIn) {
        return;
      }
      if (gateways.life(gateway) != life) {
        oracle.excused(id);
      } else {
        oracle.cut(id, words);
      }
    }

    private void submit(boolean rests) throws IOException {
      try (Talk talk = new Talk(gateways.port(gateway))) {
        if (rests) {
          talk.say("GET /healthz HTTP/1.1\r\nHost: soak\r\n\r\n");
          talk.answer();
          SoakGateways.pause(4 * stays);
        }
        if (rests && talk.ended() || !rests && !gateways.serves(gateway)) {
          return;
        }
        handIn(talk);
        if (manner == Manner.LEAVES_AT_ONCE) {
          oracle.left(id, clock.now());
          return;
        }
        HttpResponseParser.Response answer = talk.answer();
        if (answer == null && rests) {
          crossed();
          return;
        }
        follow(talk, answer);
      }
    }

    /**
     * It crossed the end of a connection that rested: once more, on a new one, if its gateway takes
     * any.
     */
    private void crossed() throws IOException {
      oracle.excused(id);
      if (gateways.serves(gateway)) {
        handedIn = false;
        try (Talk talk = new Talk(gateways.port(gateway))) {
          handIn(talk);
          follow(talk, talk.answer());
        }
      }
    }

    private void handIn(Talk talk) throws IOException {
      String body = "SELECT a FROM t_" + subject.substring(1) + ".x";
      String head =
          (manner == Manner.PIPELINES
                  ? "GET /healthz HTTP/1.1\r\nHost: soak\r\n\r\n".repeat(3)
                  : "")
              + "POST /v1/"
              + requestClass.wireName()
              + " HTTP/1.1\r\nHost: soak\r\nX-Correlation-Id: "
              + id
              + "\r\nX-Deadline-Ms: "
              + SoakTerms.DEADLINE_MS
              + "\r\nX-Estimate-Ms: "
              + ESTIMATE_MS
              + (requestClass.ordered ? "\r\nX-Subject: " + subject : "")
              + "\r\nX-Operation-Key: k"
              + id
              + "\r\nContent-Length: "
              + body.length()
              + "\r\n\r\n"
              + body;
      if (manner == Manner.WRITES_SLOWLY) {
        for (int at = 0; at < head.length() - 1; at += head.length() / 5) {
          talk.say(head.substring(at, Math.min(head.length() - 1, at + head.length() / 5)));
          SoakGateways.pause(60);
        }
        head = head.substring(head.length() - 1);
      }
      double at = clock.now();
      until = at + SoakTerms.DEADLINE_MS;
      if (!handedIn) {
        oracle.handedIn(id, gateway, requestClass, subject, at, SoakTerms.DEADLINE_MS);
      }
      handedIn = true;
      talk.say(head);
      for (int i = 0; manner == Manner.PIPELINES && i < 3; i++) {
        talk.answer();
      }
    }

    private void follow(Talk first, HttpResponseParser.Response submitted) throws IOException {
      HttpResponseParser.Response answer = submitted;
      Talk talk = first;
      int fetches = 0;
      try {
        while (answer == null || answer.continuationPath() != null) {
          if (answer == null
              && (fetches++ == FETCHES_MOST || !SoakGateways.listens(gateways.port(gateway)))) {
            failed("its connection ended without an answer");
            return;
          }
          if (answer != null && manner == Manner.CANCELS) {
            SoakGateways.pause(stays / 4);
            cancel(answer.continuationPath());
            return;
          }
          if (answer == null) {
            if (talk != first) {
              talk.close();
            }
            talk = new Talk(gateways.port(gateway));
          }
          talk.say("GET /v1/calls/" + id + " HTTP/1.1\r\nHost: soak\r\n\r\n");
          answer = talk.answer();
        }
        oracle.answered(
            id,
            answer.status() == 200
                ? SoakOracle.Answer.SERVED
                : answer.status() == 503
                        || answer.status() == 429
                        || answer.body().contains("\"Full\"")
                    ? SoakOracle.Answer.REFUSED
                    : SoakOracle.Answer.FAILED,
            clock.now());
      } finally {
        if (talk != first) {
          talk.close();
        }
      }
    }

    private void cancel(String path) throws IOException {
      try (Talk talk = new Talk(gateways.port(gateway))) {
        oracle.left(id, clock.now());
        talk.say("DELETE " + path + " HTTP/1.1\r\nHost: soak\r\n\r\n");
        talk.answer();
      }
    }
  }

  /** A connection of a client. */
  private static final class Talk implements AutoCloseable {
    private final Socket socket = new Socket();
    private final HttpResponseParser answers = new HttpResponseParser();

    Talk(int port) throws IOException {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MS);
      socket.setTcpNoDelay(true);
    }

    void say(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Whether the other side has ended it, while it rested. */
    boolean ended() throws IOException {
      socket.setSoTimeout(1);
      try {
        return socket.getInputStream().read() < 0;
      } catch (SocketTimeoutException e) {
        return false;
      }
    }

    /** The next answer; null if the connection ended. */
    HttpResponseParser.Response answer() throws IOException {
      InputStream in = socket.getInputStream();
      byte[] piece = new byte[PIECE];
      socket.setSoTimeout((int) Math.max(1, SoakTerms.DEADLINE_MS + 2_000));
      try {
        HttpResponseParser.Response answer = answers.next();
        while (answer == null) {
          int n = in.read(piece);
          if (n < 0) {
            return null;
          }
          answers.feed(Arrays.copyOf(piece, n));
          answer = answers.next();
        }
        return answer;
      } catch (SocketTimeoutException e) {
        throw new IOException("nothing came in time", e);
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
