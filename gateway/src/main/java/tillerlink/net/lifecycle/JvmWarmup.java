package tillerlink.net.lifecycle;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import tillerlink.net.state.Channel;
import tillerlink.net.state.Gateway;
import tillerlink.net.state.NetworkDriver;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.plain.Units;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.telemetry.Telemetry;

/**
 * Plays made-up requests through a gateway of its own, of which nobody hears, before the real one
 * listens. Guards the first seconds: code that was not yet called is not compiled and takes many
 * times as long, on part of a core.
 */
final class JvmWarmup implements NetworkDriver {
  private static final int HEAP_SHARE = 4;
  private static final int ROUNDS = 600;
  private static final long STEP = 20 * Units.TENTHS_PER_MS;
  private static final long NANOS_MOST = 1_500_000_000;
  private static final String STATEMENT =
      "SELECT day, count(*) FROM a_1.b WHERE t = 'x' GROUP BY day";
  private static final String ROW = "a\tb\tc\n";

  private final ArrayDeque<Runnable> next = new ArrayDeque<>();
  private final Gateway gateway;
  private final GatewayConfig assignment;
  private Channel.Owner client;
  private long now;

  JvmWarmup(GatewayConfig assignment, DispatchPolicyFactory modules, long now) {
    this.assignment = assignment;
    this.now = now;
    gateway =
        new Gateway(
            assignment,
            modules,
            this,
            now,
            Runtime.getRuntime().maxMemory() / HEAP_SHARE,
            null,
            null,
            Telemetry.silent());
  }

  /**
   * @param between called between two rounds, for what can't wait until it is over
   */
  void play(Runnable between) {
    List<String> requestClasses = assignment.requestClasses();
    if (requestClasses.isEmpty()) {
      return;
    }
    long until = System.nanoTime() + NANOS_MOST;
    client = gateway.onClientConnected(new Played());
    for (int i = 0; i < ROUNDS && System.nanoTime() < until; i++) {
      String id = String.format("%016x", i);
      say(
          "POST /v1/"
              + requestClasses.get(i % requestClasses.size())
              + " HTTP/1.1\r\nHost: app\r\nX-Correlation-Id: "
              + id
              + "\r\nX-Deadline-Ms: 500\r\nX-Estimate-Ms: 10.5\r\nX-Space: 20\r\nX-Operation-Key: "
              + id
              + "\r\nContent-Length: "
              + STATEMENT.length()
              + "\r\n\r\n"
              + STATEMENT);
      say("GET /v1/calls/" + id + " HTTP/1.1\r\nHost: app\r\n\r\n");
      now += STEP;
      between.run();
    }
  }

  private void say(String text) {
    turn(() -> client.onBytes(text.getBytes(StandardCharsets.ISO_8859_1)));
    while (!next.isEmpty()) {
      turn(next.poll());
    }
  }

  private void turn(Runnable event) {
    gateway.beginIteration(now);
    event.run();
    gateway.endIteration();
  }

  @Override
  public Channel connect(InetSocketAddress to, Channel.Owner owner) {
    Played channel = new Played();
    channel.engine = owner;
    next.add(owner::onOpened);
    return channel;
  }

  @Override
  public void sendDiscoveryQuery(byte[] datagram) {
    // Nobody answers.
  }

  @Override
  public void flush() {
    // What was written is taken in the turns that follow.
  }

  /** A connection at whose other end an engine answers at once, or a client reads. */
  private final class Played implements Channel {
    private Owner engine;

    @Override
    public void write(byte[] bytes) {
      if (engine == null) {
        next.add(client::onWritten);
        return;
      }
      next.add(engine::onWritten);
      String[] words = new String(bytes, StandardCharsets.ISO_8859_1).split("[ \r]", 4);
      String answer =
          switch (words[0]) {
            case "want" ->
                " progress tell=frac,reading=0.5 0\r\n\r\n"
                    + words[1]
                    + " ok count=2 "
                    + ROW.length()
                    + "\r\n"
                    + ROW;
            case "turn" -> " batch pos=" + words[2] + " " + ROW.length() + "\r\n" + ROW;
            default -> "";
          };
      if (!answer.isEmpty()) {
        next.add(
            () ->
                engine.onBytes((words[1] + answer + "\r\n").getBytes(StandardCharsets.ISO_8859_1)));
      }
    }

    @Override
    public void close() {
      // Nobody is there.
    }

    @Override
    public void abort() {
      // Nobody is there.
    }

    @Override
    public void pauseReading(boolean held) {
      // Nothing more comes.
    }
  }
}
