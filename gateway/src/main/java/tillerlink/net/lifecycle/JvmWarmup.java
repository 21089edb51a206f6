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
 * Runs simulated requests through a gateway of its own, which has no network, before the real one
 * listens. Runs on the event-loop thread. Guards the first seconds: code that was not yet called is
 * not compiled and takes many times as long, on part of a core.
 */
final class JvmWarmup implements NetworkDriver {
  private static final int HEAP_SHARE = 4;
  private static final int ROUNDS = 600;
  private static final long STEP = 20 * Units.TENTHS_PER_MS;
  private static final long MAX_NANOS = 1_500_000_000;
  private static final String STATEMENT =
      "SELECT day, count(*) FROM a_1.b WHERE t = 'x' GROUP BY day";
  private static final String ROW = "a\tb\tc\n";

  private final ArrayDeque<Runnable> next = new ArrayDeque<>();
  private final Gateway gateway;
  private final GatewayConfig config;
  private Channel.Owner client;
  private long now;

  JvmWarmup(GatewayConfig config, DispatchPolicyFactory policies, long now) {
    this.config = config;
    this.now = now;
    gateway =
        new Gateway(
            config,
            policies,
            this,
            now,
            Runtime.getRuntime().maxMemory() / HEAP_SHARE,
            null,
            null,
            Telemetry.silent());
  }

  /**
   * @param betweenRounds called between two rounds, for what can't wait until it is over
   */
  void play(Runnable betweenRounds) {
    List<String> requestClasses = config.requestClasses();
    if (requestClasses.isEmpty()) {
      return;
    }
    long until = System.nanoTime() + MAX_NANOS;
    client = gateway.onClientConnected(new SimulatedChannel());
    for (int i = 0; i < ROUNDS && System.nanoTime() < until; i++) {
      String id = String.format("%016x", i);
      send(
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
      send("GET /v1/calls/" + id + " HTTP/1.1\r\nHost: app\r\n\r\n");
      now += STEP;
      betweenRounds.run();
    }
  }

  private void send(String text) {
    inIteration(() -> client.onBytes(text.getBytes(StandardCharsets.ISO_8859_1)));
    while (!next.isEmpty()) {
      inIteration(next.poll());
    }
  }

  private void inIteration(Runnable event) {
    gateway.beginIteration(now);
    event.run();
    gateway.endIteration();
  }

  @Override
  public Channel connect(InetSocketAddress to, Channel.Owner owner) {
    SimulatedChannel channel = new SimulatedChannel();
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
    // What was written is taken in the iterations that follow.
  }

  /** A connection at whose other end an engine answers at once, or a client reads. */
  private final class SimulatedChannel implements Channel {
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
    public void pauseReading(boolean paused) {
      // Nothing more comes.
    }
  }
}
