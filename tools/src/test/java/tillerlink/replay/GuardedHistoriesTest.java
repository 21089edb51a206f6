package tillerlink.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import tillerlink.audit.Auditor;
import tillerlink.emulator.EmulatedCluster;
import tillerlink.emulator.ServerConnection;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.Trouble;
import tillerlink.model.Effect;
import tillerlink.net.state.DisconnectReason;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.HttpRequest;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.workload.Arrival;
import tillerlink.workload.RequestClassSpec;

/**
 * Many short histories of requests whose guards cease to hold at any moment, also between the
 * question and the write, as where the process is stopped there; over engine lines and HTTP/2, with
 * engines and connections that fail.
 */
class GuardedHistoriesTest {
  private static final long START = 17_000_000_000_000L;
  private static final int REQUESTS = 6;

  /** After the last answer, for attempts that are cancelled: tenths of a millisecond. */
  private static final long SETTLE = 20;

  private static final List<RequestClassSpec> REQUEST_CLASSES =
      List.of(
          new RequestClassSpec(
              "book", Effect.EFFECTFUL, 1, 10_000, 20_000, 1, 0.5, List.of(), 0, 1, List.of()),
          new RequestClassSpec(
              "load", Effect.RECEIPTED, 1, 10_000, 20_000, 1, 0.5, List.of(), 30_000, 1, List.of()),
          new RequestClassSpec(
              "look", Effect.PURE, 1, 10_000, 20_000, 1, 0.5, List.of(), 0, 1, List.of()));

  /** What is planted to see that it is caught. */
  private enum Planted {
    NOTHING,
    ASKED_BEFORE_ONLY,
    NEVER_ASKED
  }

  /**
   * Sees what went out when its guard did not hold, and whose results were handed out all the same.
   */
  private static final class Watching extends Auditor {
    private final Map<String, Fickle> guards = new HashMap<>();
    private final Map<String, Boolean> soundAtWrite = new HashMap<>();
    private final Set<String> unsound = new HashSet<>();
    private final StringBuilder wrong = new StringBuilder();
    private final Map<Answer, Integer> answers = new HashMap<>();

    Watching(Fleet fleet) {
      super(fleet, REQUEST_CLASSES);
    }

    @Override
    public void sent(long now, int gateway, String engine, String id) {
      Fickle guard = guards.get(id);
      soundAtWrite.put(id, guard.valid);
      if (!guard.valid) {
        unsound.add(id);
        if (!guard.ceasedAfterAsking) {
          wrong.append(id).append(" was written though its guard had said no; ");
        }
      }
      super.sent(now, gateway, engine, id);
    }

    @Override
    public void answered(long now, String id, Answer answer) {
      if (answer == Answer.FULFILLED && !soundAtWrite.getOrDefault(id, false)) {
        wrong.append(id).append(" was fulfilled by a hop that was written too late; ");
      }
      answers.merge(answer, 1, Integer::sum);
      super.answered(now, id, answer);
    }
  }

  private static final class Fickle implements GatewayExtension.Guard {
    private final Random random;
    private final Planted planted;
    private boolean valid = true;
    private boolean asked;
    private boolean ceasedAfterAsking;

    /** Attempts that began and did not end. */
    private int out;

    private boolean endedTooOften;

    Fickle(Random random, Planted planted) {
      this.random = random;
      this.planted = planted;
    }

    @Override
    public boolean holds() {
      boolean says =
          valid || planted == Planted.NEVER_ASKED || planted == Planted.ASKED_BEFORE_ONLY && asked;
      asked = true;
      if (valid && random.nextInt(8) == 0) {
        valid = false;
        ceasedAfterAsking = true;
      }
      return says;
    }

    @Override
    public long retryAfter() {
      return 3000;
    }

    @Override
    public void onAttemptStarted() {
      out++;
    }

    @Override
    public void onAttemptEnded(long mayRunUntil) {
      out--;
      endedTooOften |= out < 0;
    }
  }

  /** Takes every call of a request class, and hands it in under a guard of its own. */
  private record Aside(
      GatewayExtension.ExtensionContext door, Watching watching, Random random, Planted planted)
      implements GatewayExtension {
    @Override
    public void beginIteration(long now) {
      // Nothing of it waits.
    }

    @Override
    public void endIteration(long now) {
      if (random.nextInt(4) == 0) {
        door.recheckGuards();
      }
    }

    @Override
    public long nextDueAt() {
      return Long.MAX_VALUE;
    }

    @Override
    public boolean handlesPath(String path) {
      return REQUEST_CLASSES.stream()
          .anyMatch(requestClass -> path.equals("/v1/" + requestClass.name()));
    }

    @Override
    public void onRequest(HttpRequest call, Reply reply) {
      Fickle guard =
          watching.guards.computeIfAbsent(
              call.fields().get("x-correlation-id"), id -> new Fickle(random, planted));
      door.submit(call, guard, reply);
    }

    @Override
    public void onDrain() {
      // It owes nothing.
    }

    @Override
    public void onShutdownDeadline() {
      // It owes nothing.
    }

    @Override
    public void close() {
      // It has nothing open.
    }
  }

  /** One history; what was wrong with it, or nothing. */
  private static String play(
      long seed,
      boolean http2,
      Planted planted,
      Map<Auditor.Answer, Integer> answers,
      Set<String> unsound) {
    Random random = new Random(seed);
    Fleet fleet = http2 ? Fleet.of(1, 2).overHttp2(kind -> true) : Fleet.of(1, 2);
    Watching watching = new Watching(fleet);
    EmulatedCluster cluster = new EmulatedCluster(fleet, REQUEST_CLASSES, watching, START);
    cluster.deliveryJitter(random);
    cluster.startGateways(DefaultDispatchPolicy::new, seed);
    cluster.gateway(0).addExtension(door -> new Aside(door, watching, random, planted));
    Figures figures = new Figures(REQUEST_CLASSES);
    Front front =
        new Front(cluster, new GatewayConnections(cluster), figures, new Wording(seed, 0.2));
    for (int i = 0; i < REQUESTS; i++) {
      Arrival arrival =
          new Arrival(
              random.nextInt(1500), i, random.nextInt(3), 100 + random.nextInt(2000), 1, i, i + 7);
      cluster.timeline.at(START + arrival.at(), () -> front.arrive(arrival));
      cluster.timeline.at(
          START + random.nextInt(12_000),
          () ->
              watching.guards.values().stream()
                  .skip(random.nextInt(REQUESTS))
                  .limit(1)
                  .forEach(guard -> guard.valid = false));
    }
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
    while (figures.arrived() < REQUESTS || front.open() > 0) {
      cluster.timeline.step();
    }
    cluster.timeline.follow(cluster.timeline.now() + SETTLE);
    watching.guards.forEach(
        (id, guard) ->
            watching.wrong.append(
                guard.out == 0 && !guard.endedTooOften
                    ? ""
                    : id + " has hops that began and did not end, or the other way round; "));
    watching
        .violations()
        .forEach(
            violation ->
                watching
                    .wrong
                    .append(violation.rule())
                    .append(' ')
                    .append(violation.what())
                    .append("; "));
    if (!figures.addsUp()) {
      watching.wrong.append("submissions do not add up; ");
    }
    watching.answers.forEach((answer, count) -> answers.merge(answer, count, Integer::sum));
    watching.unsound.forEach(id -> unsound.add(seed + "/" + id));
    return watching.wrong.toString();
  }

  private static int wrongOf(int histories, boolean http2, Planted planted) {
    int wrong = 0;
    for (int seed = 0; seed < histories; seed++) {
      wrong += play(seed, http2, planted, new HashMap<>(), new HashSet<>()).isEmpty() ? 0 : 1;
    }
    return wrong;
  }

  private static void hush() {
    ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger("tillerlink.net.state"))
        .setLevel(ch.qos.logback.classic.Level.ERROR);
  }

  @Test
  void nothingWrittenTooLateIsHandedOut() {
    hush();
    for (boolean http2 : new boolean[] {false, true}) {
      Map<Auditor.Answer, Integer> answers = new HashMap<>();
      Set<String> unsound = new HashSet<>();
      for (int seed = 0; seed < 4000; seed++) {
        assertEquals(
            "",
            play(seed, http2, Planted.NOTHING, answers, unsound),
            "seed " + seed + (http2 ? " over HTTP/2" : ""));
      }
      assertTrue(
          answers.get(Auditor.Answer.FULFILLED) > 5000
              && answers.get(Auditor.Answer.TURNED_BACK) > 1000
              && answers.get(Auditor.Answer.BROKEN_OFF) > 100
              && unsound.size() > 1000,
          answers + " " + unsound.size());
    }
  }

  /** The same check fails where the guard is not asked, or asked before the write only. */
  @Test
  void plantedFaultsAreCaught() {
    hush();
    for (boolean http2 : new boolean[] {false, true}) {
      assertTrue(wrongOf(100, http2, Planted.ASKED_BEFORE_ONLY) > 0, "asked before the write only");
      assertTrue(wrongOf(100, http2, Planted.NEVER_ASKED) > 0, "never asked");
    }
  }
}
