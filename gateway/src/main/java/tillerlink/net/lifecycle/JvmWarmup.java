package tillerlink.net.lifecycle;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import tillerlink.net.state.Channel;
import tillerlink.net.state.Gateway;
import tillerlink.net.state.NetworkDriver;
import tillerlink.net.state.RetainedBytes;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.plain.Units;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.telemetry.Telemetry;

/**
 * Warm-up of the JVM before the gateway listens: runs simulated requests through a second gateway
 * that has no network. Runs on the event-loop thread. Prevents slow responses in the first seconds
 * of service, because code that was not called before is not compiled yet and takes many times as
 * long when the process has only part of a core.
 */
final class JvmWarmup implements NetworkDriver {
  private static final int ROUNDS = 600;

  /** The simulated time between two rounds, in tenths of a millisecond. */
  private static final long ROUND_TENTHS = 20 * Units.TENTHS_PER_MS;

  private static final long MAX_NANOS = 1_500_000_000;
  private static final String STATEMENT =
      "SELECT day, count(*) FROM a_1.b WHERE t = 'x' GROUP BY day";
  private static final String ROW = "a\tb\tc\n";

  private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();
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
            new RetainedBytes(Gateway.maxRetainedBytes()),
            null,
            null,
            Telemetry.silent());
  }

  /**
   * Runs the simulated requests, 600 at most and for 1.5 s at most. Does nothing if the
   * configuration has no request classes.
   *
   * @param betweenRounds called after each round, for work that cannot wait until the warm-up ends
   */
  void run(Runnable betweenRounds) {
    List<String> requestClasses = config.requestClasses();
    if (requestClasses.isEmpty()) {
      return;
    }
    long deadlineNanos = System.nanoTime() + MAX_NANOS;
    client = gateway.onClientConnected(new SimulatedChannel());
    for (int round = 0; round < ROUNDS && System.nanoTime() < deadlineNanos; round++) {
      String id = String.format("%016x", round);
      send(
          "POST /v1/"
              + requestClasses.get(round % requestClasses.size())
              + " HTTP/1.1\r\nHost: app\r\nX-Correlation-Id: "
              + id
              + "\r\nX-Deadline-Ms: 500\r\nX-Estimate-Ms: 10.5\r\nX-Space: 20\r\nX-Operation-Key: "
              + id
              + "\r\nContent-Length: "
              + STATEMENT.length()
              + "\r\n\r\n"
              + STATEMENT);
      send("GET /v1/calls/" + id + " HTTP/1.1\r\nHost: app\r\n\r\n");
      now += ROUND_TENTHS;
      betweenRounds.run();
    }
  }

  private void send(String text) {
    runInIteration(() -> client.onBytes(text.getBytes(StandardCharsets.ISO_8859_1)));
    while (!pendingEvents.isEmpty()) {
      runInIteration(pendingEvents.poll());
    }
  }

  private void runInIteration(Runnable event) {
    gateway.beginIteration(now);
    event.run();
    gateway.endIteration();
  }

  @Override
  public Channel connect(InetSocketAddress to, Channel.Owner owner) {
    SimulatedChannel channel = new SimulatedChannel();
    channel.engine = owner;
    pendingEvents.add(owner::onOpened);
    return channel;
  }

  @Override
  public void sendDiscoveryQuery(byte[] datagram) {
    // There is no discovery service; queries remain unanswered.
  }

  @Override
  public void flush() {
    // Written bytes are processed in the following iterations.
  }

  /** A connection to a simulated engine that responds immediately, or to a simulated client. */
  private final class SimulatedChannel implements Channel {
    /** The owner of an engine connection; null for the connection of the client. */
    private Owner engine;

    @Override
    public void write(byte[] bytes) {
      if (engine == null) {
        pendingEvents.add(client::onWritten);
        return;
      }
      pendingEvents.add(engine::onWritten);
      String[] words = new String(bytes, StandardCharsets.ISO_8859_1).split("[ \r]", 4);
      String response =
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
      if (!response.isEmpty()) {
        pendingEvents.add(
            () ->
                engine.onBytes(
                    (words[1] + response + "\r\n").getBytes(StandardCharsets.ISO_8859_1)));
      }
    }

    @Override
    public void close() {
      // There is no peer to notify.
    }

    @Override
    public void abort() {
      // There is no peer to notify.
    }

    @Override
    public void pauseReading(boolean paused) {
      // Input arrives only in response to writes.
    }
  }
}
