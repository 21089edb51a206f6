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
import tillerlink.fleet.Trouble;
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
 * Many short histories of a gateway and two engines over HTTP/2, in which engines leave, refuse,
 * reset and lower limits, connections break, bytes come split and late, and clients wait. The real
 * gateway, module and machines, in memory.
 */
class Http2HistoriesTest {
  private static final long START = 17_000_000_000_000L;
  private static final int REQUESTS = 5;
  private static final boolean TOLD = System.getProperty("story") != null;
  private static final List<RequestClassSpec> REQUEST_CLASSES =
      List.of(
          new RequestClassSpec(
              "book", Effect.EFFECTFUL, 1, 10_000, 20_000, 1, 0.5, List.of(), 0, 1, List.of()),
          new RequestClassSpec(
              "load", Effect.RECEIPTED, 1, 10_000, 20_000, 1, 0.5, List.of(), 30_000, 1, List.of()),
          new RequestClassSpec(
              "look", Effect.PURE, 1, 10_000, 20_000, 1, 0.5, List.of(), 0, 1, List.of()));

  /** What engines may do. */
  private enum Mood {
    /** Only what proves that nothing ran: refusals, GOAWAY, limits. */
    CERTAIN,
    /** Anything. */
    WILD,
    /** They say GOAWAY with an id two too low, and run that stream all the same. */
    LIES_LOW,
    /**
     * They say GOAWAY with an id two too high: of a stream that they never run it says that it may
     * have run.
     */
    LIES_HIGH
  }

  private static final class Counted extends Auditor {
    private final Set<String> ran = new HashSet<>();
    private final Set<String> failed = new HashSet<>();

    Counted(Fleet fleet) {
      super(fleet, REQUEST_CLASSES);
    }

    /** With {@code -Dstory=SEED} the history of that seed is told. */
    private void tell(long now, String what) {
      if (TOLD) {
        System.out.println((now - START) + " " + what);
      }
    }

    @Override
    public void sent(long now, int gateway, String engine, String id) {
      tell(now, id + " goes out to " + engine);
      super.sent(now, gateway, engine, id);
    }

    @Override
    public void over(String id, boolean provesNotExecuted) {
      tell(START, id + (provesNotExecuted ? " never ran" : " is over"));
      super.over(id, provesNotExecuted);
    }

    @Override
    public void ran(long now, String engine, String id, double work) {
      tell(now, id + " runs at " + engine);
      super.ran(now, engine, id, work);
      ran.add(id);
    }

    @Override
    public void answered(long now, String id, Answer answer) {
      tell(now, id + " " + answer);
      super.answered(now, id, answer);
      if (answer == Answer.BROKEN_OFF) {
        failed.add(id);
      }
    }
  }

  /** An engine's side that misbehaves now and then. */
  private static final class Moody implements EngineProtocolServer {
    private final Http2Server side;
    private final Random random;
    private final Mood mood;
    private int lowered;
    private boolean left;

    Moody(Random random, Mood mood) {
      this.random = random;
      this.mood = mood;
      side = new Http2Server(1 + random.nextInt(6));
    }

    @Override
    public void feed(byte[] bytes) {
      side.feed(bytes);
    }

    @Override
    public Command next() {
      for (Command command = side.next(); command != null; command = side.next()) {
        if (command.word() != Word.WANT || !turnsAway(command)) {
          return command;
        }
      }
      return null;
    }

    /** True if it never runs. */
    private boolean turnsAway(Command command) {
      int stream = side.streamOf(command.id());
      if (lowered > 0 && --lowered == 0) {
        side.limitStreams(4);
      }
      switch (random.nextInt(mood == Mood.WILD ? 14 : 10)) {
        case 0 -> {
          side.refuse(stream);
          return true;
        }
        case 1 -> {
          return leave(stream);
        }
        case 2 -> {
          if (!left) {
            left = true;
            side.writer().goAway(Integer.MAX_VALUE, ErrorCode.NO_ERROR);
          }
          return false;
        }
        case 3 -> {
          side.limitStreams(random.nextInt(2));
          lowered = 1 + random.nextInt(2);
          return false;
        }
        case 10 -> {
          side.reset(stream, ErrorCode.INTERNAL_ERROR);
          return random.nextBoolean();
        }
        case 11 -> {
          side.writer().frame(Frame.DATA, 0, stream, 1);
          return random.nextBoolean();
        }
        case 12 -> {
          side.writer().frame(Frame.WINDOW_UPDATE, 0, 0, 0);
          return random.nextBoolean();
        }
        default -> {
          return false;
        }
      }
    }

    private boolean leave(int stream) {
      if (mood == Mood.LIES_LOW) {
        side.writer().goAway(Math.max(0, stream - 2), ErrorCode.NO_ERROR);
        return false;
      }
      if (mood == Mood.LIES_HIGH) {
        side.writer().goAway(stream, ErrorCode.NO_ERROR);
        return true;
      }
      side.goAway(Math.max(0, stream - 2));
      return true;
    }

    @Override
    public byte[] encode(EngineReply reply) {
      if (mood == Mood.WILD && reply.word() == EngineReply.Word.OK && random.nextInt(12) == 0) {
        Integer stream = side.streamOf(reply.id());
        if (stream != null) {
          side.reset(stream, random.nextBoolean() ? ErrorCode.CANCEL : ErrorCode.INTERNAL_ERROR);
          return side.takePendingOutput();
        }
      }
      return side.encode(reply);
    }

    @Override
    public byte[] takePendingOutput() {
      return side.takePendingOutput();
    }

    @Override
    public boolean isBeyondGoAway(EngineProtocolServer sender, String attempt) {
      return side.isBeyondGoAway(sender, attempt);
    }

    @Override
    public List<String> takeNotExecuted() {
      return side.takeNotExecuted();
    }
  }

  /** One history; what was wrong with it, or nothing. */
  private static String play(long seed, Mood mood) {
    Random random = new Random(seed);
    Fleet fleet = Fleet.of(1, 2).overHttp2(kind -> true);
    Counted auditor = new Counted(fleet);
    EmulatedCluster cluster = new EmulatedCluster(fleet, REQUEST_CLASSES, auditor, START);
    List<Moody> sides = new ArrayList<>();
    cluster.protocolFactory(
        spec -> {
          sides.add(new Moody(random, mood));
          return sides.get(sides.size() - 1);
        });
    cluster.deliveryJitter(random);
    cluster.startGateways(DefaultDispatchPolicy::new, seed);
    Figures figures = new Figures(REQUEST_CLASSES);
    Front front =
        new Front(cluster, new GatewayConnections(cluster), figures, new Wording(seed, 0.2));
    List<Arrival> arrivals = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      Arrival arrival =
          new Arrival(
              random.nextInt(1500), i, random.nextInt(3), 100 + random.nextInt(2000), 1, i, i + 7);
      arrivals.add(arrival);
      cluster.timeline.at(START + arrival.at(), () -> front.arrive(arrival));
    }
    if (mood == Mood.WILD) {
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
      Trouble.What[] kinds = {Trouble.What.SILENT, Trouble.What.GONE, Trouble.What.DRAINED};
      cluster.plan(
          new Trouble(
              random.nextInt(4000),
              kinds[random.nextInt(3)],
              "e" + (1 + random.nextInt(2)),
              3000,
              1));
    }
    while (figures.arrived() < REQUESTS || front.open() > 0) {
      cluster.timeline.step();
    }
    StringBuilder wrong = new StringBuilder();
    auditor
        .violations()
        .forEach(
            violation ->
                wrong.append(violation.rule()).append(' ').append(violation.what()).append("; "));
    if (!figures.addsUp()) {
      wrong.append("submissions do not add up; ");
    }
    if (mood != Mood.WILD) {
      Wording wording = new Wording(seed, 0.2);
      for (Arrival arrival : arrivals) {
        String id = wording.id(arrival);
        if (auditor.failed.contains(id) && !auditor.ran.contains(id)) {
          wrong.append(id).append(" was lost though it never ran; ");
        }
      }
    }
    sides.forEach(
        side -> wrong.append(side.side.streamsOverLimit() > 0 ? "a limit was passed; " : ""));
    return wrong.toString();
  }

  private static void hush() {
    ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger("tillerlink.net.state"))
        .setLevel(ch.qos.logback.classic.Level.ERROR);
  }

  private static int wrongOf(int from, int to, Mood mood) {
    int wrong = 0;
    for (int seed = from; seed < to; seed++) {
      wrong += play(seed, mood).isEmpty() ? 0 : 1;
    }
    return wrong;
  }

  @Test
  void whatNeverRanIsNeverLost() {
    hush();
    for (int seed = Integer.getInteger("story", 0);
        seed < (TOLD ? Integer.getInteger("story") + 1 : 12_000);
        seed++) {
      assertEquals("", play(seed, Mood.CERTAIN), "seed " + seed);
    }
  }

  @Test
  void whateverHappensTheRulesHold() {
    hush();
    for (int seed = Integer.getInteger("story", 0);
        seed < (TOLD ? Integer.getInteger("story") + 1 : 12_000);
        seed++) {
      assertEquals("", play(seed, Mood.WILD), "seed " + seed);
    }
  }

  /**
   * The same moods over loopback, with a gateway process: what fails at any frame ends what it
   * must, and no more.
   */
  @Test
  void overSockets(@TempDir Path folder) throws IOException {
    Path file = folder.resolve("trace");
    try (TraceGenerator maker =
        new TraceGenerator(Layout.ALIBABA_2018, 2, 0, 0, Files.newOutputStream(file))) {
      maker.make(300);
    }
    Job job =
        new Job(
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
    try (Arrivals arrivals = new Arrivals(job)) {
      Played played =
          ProcessHarness.play(
              job,
              arrivals,
              arrived -> {},
              null,
              cluster -> cluster.protocolFactory(spec -> new Moody(random, Mood.WILD)));
      assertTrue(played.auditor().counts().isEmpty(), played.auditor().violations().toString());
      assertTrue(played.figures().addsUp());
      assertEquals(300, played.figures().arrived());
      assertTrue(played.figures().whole() > 0.1, "served " + played.figures().whole());
    }
  }

  /** The same checks fail where a GOAWAY's id and what ran are apart by one stream, either way. */
  @Test
  void anIdOffByOneIsCaught() {
    hush();
    assertTrue(
        wrongOf(0, 600, Mood.LIES_LOW) > 0, "a stream that ran taken for one that never did");
    assertTrue(
        wrongOf(0, 600, Mood.LIES_HIGH) > 0, "a stream that never ran taken for one that may have");
  }
}
