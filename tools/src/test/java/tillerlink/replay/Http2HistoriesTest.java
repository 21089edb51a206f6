package tillerlink.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;
import tillerlink.audit.Auditor;
import tillerlink.emulator.EmulatedCluster;
import tillerlink.emulator.ServerConnection;
import tillerlink.fakes.EngineCommandParser.Command;
import tillerlink.fakes.EngineCommandParser.Word;
import tillerlink.fakes.EngineProtocolServer;
import tillerlink.fakes.EngineReply;
import tillerlink.fakes.Http2Server;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.ScheduledFault;
import tillerlink.harness.ProcessHarness;
import tillerlink.model.Effect;
import tillerlink.net.http2.ErrorCode;
import tillerlink.net.http2.Frame;
import tillerlink.net.state.DisconnectReason;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.trace.Layout;
import tillerlink.trace.Shard;
import tillerlink.trace.TraceGenerator;
import tillerlink.workload.Arrival;
import tillerlink.workload.BuiltInRequestClasses;
import tillerlink.workload.RequestClassSpec;
import tillerlink.workload.WorkloadScaling;

/**
 * Plays many short in-memory histories of a real gateway and two engines over HTTP/2. Engines send
 * GOAWAY, refuse and reset streams, and lower the stream limit; connections break, and bytes arrive
 * split and late. A request that provably never ran must not fail, and no rule may be violated.
 */
class Http2HistoriesTest {
  private static final long START = 17_000_000_000_000L;
  private static final int REQUESTS = 5;
  private static final boolean PRINT_HISTORY = System.getProperty("story") != null;
  private static final List<RequestClassSpec> REQUEST_CLASSES =
      List.of(
          new RequestClassSpec(
              "book", Effect.EFFECTFUL, 1, 10_000, 20_000, 1, 0.5, List.of(), 0, 1, List.of()),
          new RequestClassSpec(
              "load", Effect.RECEIPTED, 1, 10_000, 20_000, 1, 0.5, List.of(), 30_000, 1, List.of()),
          new RequestClassSpec(
              "look", Effect.PURE, 1, 10_000, 20_000, 1, 0.5, List.of(), 0, 1, List.of()));

  /** The way in which engines misbehave. */
  private enum Behaviour {
    /**
     * Only in ways that prove that a request never ran: refused streams, GOAWAY and stream limits.
     */
    PROVABLE,
    /** In any way, resets and protocol errors included. */
    ARBITRARY,
    /** Send GOAWAY with a last stream id that is two too low, and run that stream nevertheless. */
    GOAWAY_TOO_LOW,
    /**
     * Send GOAWAY with a last stream id that is two too high, so that a stream that never runs may
     * have run as far as the gateway knows.
     */
    GOAWAY_TOO_HIGH
  }

  private static final class RecordingAuditor extends Auditor {
    private final Set<String> executed = new HashSet<>();
    private final Set<String> failed = new HashSet<>();

    RecordingAuditor(Fleet fleet) {
      super(fleet, REQUEST_CLASSES);
    }

    /**
     * Prints an event if {@code -Dstory=SEED} selects a history; only the history of that seed is
     * then played.
     */
    private void print(long now, String event) {
      if (PRINT_HISTORY) {
        System.out.println((now - START) + " " + event);
      }
    }

    @Override
    public void onAttemptSent(long now, int gateway, String engine, String id) {
      print(now, id + " is sent to " + engine);
      super.onAttemptSent(now, gateway, engine, id);
    }

    @Override
    public void onAttemptEnded(String id, boolean provesNotExecuted) {
      print(START, id + (provesNotExecuted ? " never ran" : " has ended"));
      super.onAttemptEnded(id, provesNotExecuted);
    }

    @Override
    public void onAttemptExecuted(long now, String engine, String id, double work) {
      print(now, id + " runs at " + engine);
      super.onAttemptExecuted(now, engine, id, work);
      executed.add(id);
    }

    @Override
    public void onAnswer(long now, String id, Answer answer) {
      print(now, id + " " + answer);
      super.onAnswer(now, id, answer);
      if (answer == Answer.FAILED) {
        failed.add(id);
      }
    }
  }

  /** An engine's end of a connection that randomly misbehaves. */
  private static final class MisbehavingServer implements EngineProtocolServer {
    private final Http2Server server;
    private final Random random;
    private final Behaviour behaviour;
    private int attemptsUntilLimitRises;
    private boolean goAwayAnnounced;

    MisbehavingServer(Random random, Behaviour behaviour) {
      this.random = random;
      this.behaviour = behaviour;
      server = new Http2Server(1 + random.nextInt(6));
    }

    @Override
    public void feed(byte[] bytes) {
      server.feed(bytes);
    }

    @Override
    public Command next() {
      for (Command command = server.next(); command != null; command = server.next()) {
        if (command.word() != Word.WANT || !refuses(command)) {
          return command;
        }
      }
      return null;
    }

    /**
     * Handles a request in a random way.
     *
     * @return true if the request never runs
     */
    private boolean refuses(Command command) {
      int stream = server.streamOf(command.id());
      if (attemptsUntilLimitRises > 0 && --attemptsUntilLimitRises == 0) {
        server.limitStreams(4);
      }
      switch (random.nextInt(behaviour == Behaviour.ARBITRARY ? 14 : 10)) {
        case 0 -> {
          server.refuse(stream);
          return true;
        }
        case 1 -> {
          return goAway(stream);
        }
        case 2 -> {
          if (!goAwayAnnounced) {
            goAwayAnnounced = true;
            server.writer().goAway(Integer.MAX_VALUE, ErrorCode.NO_ERROR);
          }
          return false;
        }
        case 3 -> {
          server.limitStreams(random.nextInt(2));
          attemptsUntilLimitRises = 1 + random.nextInt(2);
          return false;
        }
        case 10 -> {
          server.reset(stream, ErrorCode.INTERNAL_ERROR);
          return random.nextBoolean();
        }
        case 11 -> {
          server.writer().frame(Frame.DATA, 0, stream, 1);
          return random.nextBoolean();
        }
        case 12 -> {
          server.writer().frame(Frame.WINDOW_UPDATE, 0, 0, 0);
          return random.nextBoolean();
        }
        default -> {
          return false;
        }
      }
    }

    private boolean goAway(int stream) {
      if (behaviour == Behaviour.GOAWAY_TOO_LOW) {
        server.writer().goAway(Math.max(0, stream - 2), ErrorCode.NO_ERROR);
        return false;
      }
      if (behaviour == Behaviour.GOAWAY_TOO_HIGH) {
        server.writer().goAway(stream, ErrorCode.NO_ERROR);
        return true;
      }
      server.goAway(Math.max(0, stream - 2));
      return true;
    }

    @Override
    public byte[] encode(EngineReply reply) {
      if (behaviour == Behaviour.ARBITRARY
          && reply.word() == EngineReply.Word.OK
          && random.nextInt(12) == 0) {
        Integer stream = server.streamOf(reply.id());
        if (stream != null) {
          server.reset(stream, random.nextBoolean() ? ErrorCode.CANCEL : ErrorCode.INTERNAL_ERROR);
          return server.takePendingOutput();
        }
      }
      return server.encode(reply);
    }

    @Override
    public byte[] takePendingOutput() {
      return server.takePendingOutput();
    }

    @Override
    public boolean isBeyondGoAway(EngineProtocolServer sender, String attempt) {
      return server.isBeyondGoAway(sender, attempt);
    }

    @Override
    public List<String> takeNotExecuted() {
      return server.takeNotExecuted();
    }
  }

  /**
   * Plays one history.
   *
   * @return the failed checks, or an empty string
   */
  private static String play(long seed, Behaviour behaviour) {
    Random random = new Random(seed);
    Fleet fleet = Fleet.of(1, 2).overHttp2(kind -> true);
    RecordingAuditor auditor = new RecordingAuditor(fleet);
    EmulatedCluster cluster = new EmulatedCluster(fleet, REQUEST_CLASSES, auditor, START);
    List<MisbehavingServer> servers = new ArrayList<>();
    cluster.protocolFactory(
        spec -> {
          servers.add(new MisbehavingServer(random, behaviour));
          return servers.get(servers.size() - 1);
        });
    cluster.deliveryJitter(random);
    cluster.startGateways(DefaultDispatchPolicy::new, seed);
    ReplayMetrics metrics = new ReplayMetrics(REQUEST_CLASSES);
    ReplayClients clients =
        new ReplayClients(
            cluster, new GatewayConnections(cluster), metrics, new RequestEncoder(seed, 0.2));
    List<Arrival> arrivals = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      Arrival arrival =
          new Arrival(
              random.nextInt(1500), i, random.nextInt(3), 100 + random.nextInt(2000), 1, i, i + 7);
      arrivals.add(arrival);
      cluster.timeline.at(START + arrival.at(), () -> clients.arrive(arrival));
    }
    if (behaviour == Behaviour.ARBITRARY) {
      for (int i = 0; i < 2; i++) {
        cluster.timeline.at(
            START + random.nextInt(4000),
            () -> {
              List<ServerConnection> open = cluster.gateway(0).connections();
              if (!open.isEmpty()) {
                open.get(random.nextInt(open.size()))
                    .disconnect(
                        random.nextBoolean()
                            ? DisconnectReason.RESET
                            : DisconnectReason.CLOSED_BY_PEER);
              }
            });
      }
      ScheduledFault.What[] kinds = {
        ScheduledFault.What.SILENT, ScheduledFault.What.GONE, ScheduledFault.What.DRAINED
      };
      cluster.plan(
          new ScheduledFault(
              random.nextInt(4000),
              kinds[random.nextInt(3)],
              "e" + (1 + random.nextInt(2)),
              3000,
              1));
    }
    while (metrics.arrived() < REQUESTS || clients.open() > 0) {
      cluster.timeline.step();
    }
    StringBuilder failures = new StringBuilder();
    auditor
        .violations()
        .forEach(
            violation ->
                failures
                    .append(violation.rule())
                    .append(' ')
                    .append(violation.what())
                    .append("; "));
    if (!metrics.addsUp()) {
      failures.append("not every request ended exactly once; ");
    }
    if (behaviour != Behaviour.ARBITRARY) {
      RequestEncoder encoder = new RequestEncoder(seed, 0.2);
      for (Arrival arrival : arrivals) {
        String id = encoder.id(arrival);
        if (auditor.failed.contains(id) && !auditor.executed.contains(id)) {
          failures.append(id).append(" failed although it never ran; ");
        }
      }
    }
    servers.forEach(
        peer ->
            failures.append(
                peer.server.streamsOverLimit() > 0 ? "a stream limit was exceeded; " : ""));
    return failures.toString();
  }

  private static void muteGateways() {
    ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger("tillerlink.net.state"))
        .setLevel(ch.qos.logback.classic.Level.ERROR);
  }

  private static int countFailingHistories(int from, int to, Behaviour behaviour) {
    int failures = 0;
    for (int seed = from; seed < to; seed++) {
      failures += play(seed, behaviour).isEmpty() ? 0 : 1;
    }
    return failures;
  }

  @Test
  void requestThatNeverRanIsNeverFailed() {
    muteGateways();
    for (int seed = Integer.getInteger("story", 0);
        seed < (PRINT_HISTORY ? Integer.getInteger("story") + 1 : 12_000);
        seed++) {
      assertEquals("", play(seed, Behaviour.PROVABLE), "seed " + seed);
    }
  }

  @Test
  void rulesHoldUnderArbitraryMisbehaviour() {
    muteGateways();
    for (int seed = Integer.getInteger("story", 0);
        seed < (PRINT_HISTORY ? Integer.getInteger("story") + 1 : 12_000);
        seed++) {
      assertEquals("", play(seed, Behaviour.ARBITRARY), "seed " + seed);
    }
  }

  /**
   * Runs the same misbehaviour over loopback sockets with a gateway process. A failure at any frame
   * must end only the requests that it affects.
   */
  @Test
  void rulesHoldOverSockets(@TempDir Path folder) throws IOException {
    Path file = folder.resolve("trace");
    try (TraceGenerator generator =
        new TraceGenerator(Layout.ALIBABA_2018, 2, 0, 0, Files.newOutputStream(file))) {
      generator.make(300);
    }
    ReplayConfig config =
        new ReplayConfig(
            List.of(Shard.of(file)),
            Layout.ALIBABA_2018,
            BuiltInRequestClasses.requestClasses(Layout.ALIBABA_2018),
            Fleet.of(1, 4).overHttp2(kind -> true),
            List.of(),
            36_000_000,
            null,
            0,
            0.3,
            WorkloadScaling.Scale.TIME,
            0,
            0.4,
            0.1,
            1,
            "wild",
            DefaultDispatchPolicy::new);
    Random random = new Random(9);
    try (ArrivalSource arrivals = new ArrivalSource(config)) {
      ReplayResult result =
          ProcessHarness.play(
              config,
              arrivals,
              arrived -> {},
              null,
              cluster ->
                  cluster.protocolFactory(
                      spec -> new MisbehavingServer(random, Behaviour.ARBITRARY)));
      assertTrue(result.auditor().counts().isEmpty(), result.auditor().violations().toString());
      assertTrue(result.metrics().addsUp());
      assertEquals(300, result.metrics().arrived());
      assertTrue(result.metrics().whole() > 0.1, "served " + result.metrics().whole());
    }
  }

  /**
   * The checks fail if the last stream id of a GOAWAY is off by one stream, in either direction.
   */
  @Test
  void goAwayIdOffByOneIsDetected() {
    muteGateways();
    assertTrue(
        countFailingHistories(0, 600, Behaviour.GOAWAY_TOO_LOW) > 0,
        "a stream that ran was treated as one that never ran");
    assertTrue(
        countFailingHistories(0, 600, Behaviour.GOAWAY_TOO_HIGH) > 0,
        "a stream that never ran was treated as one that may have run");
  }
}
