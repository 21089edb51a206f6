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
import tillerlink.fleet.ScheduledFault;
import tillerlink.model.Effect;
import tillerlink.net.state.DisconnectReason;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.HttpRequest;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.workload.Arrival;
import tillerlink.workload.RequestClassSpec;

/**
 * Plays many short histories of requests whose guards cease to hold at any moment, also between the
 * check and the write, as if the process had been paused there. The result of an attempt that was
 * written without a valid guard must not reach the client. Histories run over both protocols, with
 * failing engines and connections.
 */
class GuardedHistoriesTest {
  private static final long START = 17_000_000_000_000L;
  private static final int REQUESTS = 6;

  /** Time after the last response in which cancelled attempts end, in tenths of a millisecond. */
  private static final long SETTLING_TIME = 20;

  private static final List<RequestClassSpec> REQUEST_CLASSES =
      List.of(
          new RequestClassSpec(
              "book", Effect.EFFECTFUL, 1, 10_000, 20_000, 1, 0.5, List.of(), 0, 1, List.of()),
          new RequestClassSpec(
              "load", Effect.RECEIPTED, 1, 10_000, 20_000, 1, 0.5, List.of(), 30_000, 1, List.of()),
          new RequestClassSpec(
              "look", Effect.PURE, 1, 10_000, 20_000, 1, 0.5, List.of(), 0, 1, List.of()));

  /** A fault that is injected to verify that the checks detect it. */
  private enum InjectedFault {
    NONE,
    CHECKED_BEFORE_WRITE_ONLY,
    NEVER_CHECKED
  }

  /**
   * Detects attempts that were written although their guard did not hold, and results of such
   * attempts that were delivered.
   */
  private static final class GuardAuditor extends Auditor {
    private final Map<String, RandomGuard> guards = new HashMap<>();
    private final Map<String, Boolean> validAtWrite = new HashMap<>();
    private final Set<String> writtenInvalid = new HashSet<>();
    private final StringBuilder failures = new StringBuilder();
    private final Map<Answer, Integer> answers = new HashMap<>();

    GuardAuditor(Fleet fleet) {
      super(fleet, REQUEST_CLASSES);
    }

    @Override
    public void onAttemptSent(long now, int gateway, String engine, String id) {
      RandomGuard guard = guards.get(id);
      validAtWrite.put(id, guard.valid);
      if (!guard.valid) {
        writtenInvalid.add(id);
        if (!guard.ceasedAfterCheck) {
          failures.append(id).append(" was written although its guard did not hold; ");
        }
      }
      super.onAttemptSent(now, gateway, engine, id);
    }

    @Override
    public void onAnswer(long now, String id, Answer answer) {
      if (answer == Answer.SUCCEEDED && !validAtWrite.getOrDefault(id, false)) {
        failures
            .append(id)
            .append(" got the result of an attempt that was written without a valid guard; ");
      }
      answers.merge(answer, 1, Integer::sum);
      super.onAnswer(now, id, answer);
    }
  }

  private static final class RandomGuard implements GatewayExtension.Guard {
    private final Random random;
    private final InjectedFault fault;
    private boolean valid = true;
    private boolean checked;
    private boolean ceasedAfterCheck;

    /** The number of attempts that started and did not end. */
    private int inFlight;

    private boolean endedWithoutStart;

    RandomGuard(Random random, InjectedFault fault) {
      this.random = random;
      this.fault = fault;
    }

    @Override
    public boolean holds() {
      boolean result =
          valid
              || fault == InjectedFault.NEVER_CHECKED
              || (fault == InjectedFault.CHECKED_BEFORE_WRITE_ONLY && checked);
      checked = true;
      if (valid && random.nextInt(8) == 0) {
        valid = false;
        ceasedAfterCheck = true;
      }
      return result;
    }

    @Override
    public long retryAfter() {
      return 3000;
    }

    @Override
    public void onAttemptStarted() {
      inFlight++;
    }

    @Override
    public void onAttemptEnded(long mayRunUntil) {
      inFlight--;
      endedWithoutStart |= inFlight < 0;
    }
  }

  /** An extension that handles the requests of all classes and submits each under its own guard. */
  private record GuardingExtension(
      GatewayExtension.ExtensionContext context,
      GuardAuditor auditor,
      Random random,
      InjectedFault fault)
      implements GatewayExtension {
    @Override
    public void beginIteration(long now) {
      // Nothing is queued.
    }

    @Override
    public void endIteration(long now) {
      if (random.nextInt(4) == 0) {
        context.recheckGuards();
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
    public void onRequest(HttpRequest request, Reply reply) {
      RandomGuard guard =
          auditor.guards.computeIfAbsent(
              request.fields().get("x-correlation-id"), id -> new RandomGuard(random, fault));
      context.submit(request, guard, reply);
    }

    @Override
    public void onDrain() {
      // Nothing is pending.
    }

    @Override
    public void onShutdownDeadline() {
      // Nothing is pending.
    }

    @Override
    public void close() {
      // There is nothing to close.
    }
  }

  /**
   * Plays one history.
   *
   * @param answers counts the answers, added to by this history
   * @param writtenInvalid collects the attempts that were written without a valid guard
   * @return the failed checks, or an empty string
   */
  private static String play(
      long seed,
      boolean http2,
      InjectedFault fault,
      Map<Auditor.Answer, Integer> answers,
      Set<String> writtenInvalid) {
    Random random = new Random(seed);
    Fleet fleet = http2 ? Fleet.of(1, 2).overHttp2(kind -> true) : Fleet.of(1, 2);
    GuardAuditor auditor = new GuardAuditor(fleet);
    EmulatedCluster cluster = new EmulatedCluster(fleet, REQUEST_CLASSES, auditor, START);
    cluster.deliveryJitter(random);
    cluster.startGateways(DefaultDispatchPolicy::new, seed);
    cluster
        .gateway(0)
        .addExtension(context -> new GuardingExtension(context, auditor, random, fault));
    ReplayMetrics metrics = new ReplayMetrics(REQUEST_CLASSES);
    ReplayClients clients =
        new ReplayClients(
            cluster, new GatewayConnections(cluster), metrics, new RequestEncoder(seed, 0.2));
    for (int i = 0; i < REQUESTS; i++) {
      Arrival arrival =
          new Arrival(
              random.nextInt(1500), i, random.nextInt(3), 100 + random.nextInt(2000), 1, i, i + 7);
      cluster.timeline.at(START + arrival.at(), () -> clients.arrive(arrival));
      cluster.timeline.at(
          START + random.nextInt(12_000),
          () ->
              auditor.guards.values().stream()
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
    while (metrics.arrived() < REQUESTS || clients.open() > 0) {
      cluster.timeline.step();
    }
    cluster.timeline.follow(cluster.timeline.now() + SETTLING_TIME);
    auditor.guards.forEach(
        (id, guard) ->
            auditor.failures.append(
                guard.inFlight == 0 && !guard.endedWithoutStart
                    ? ""
                    : id
                        + " has attempts that started without an end, or ended without a start; "));
    auditor
        .violations()
        .forEach(
            violation ->
                auditor
                    .failures
                    .append(violation.rule())
                    .append(' ')
                    .append(violation.what())
                    .append("; "));
    if (!metrics.addsUp()) {
      auditor.failures.append("not every request ended exactly once; ");
    }
    auditor.answers.forEach((answer, count) -> answers.merge(answer, count, Integer::sum));
    auditor.writtenInvalid.forEach(id -> writtenInvalid.add(seed + "/" + id));
    return auditor.failures.toString();
  }

  private static int countFailingHistories(int histories, boolean http2, InjectedFault fault) {
    int failures = 0;
    for (int seed = 0; seed < histories; seed++) {
      failures += play(seed, http2, fault, new HashMap<>(), new HashSet<>()).isEmpty() ? 0 : 1;
    }
    return failures;
  }

  private static void muteGateways() {
    ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger("tillerlink.net.state"))
        .setLevel(ch.qos.logback.classic.Level.ERROR);
  }

  @Test
  void resultOfAttemptWrittenWithoutValidGuardIsNotDelivered() {
    muteGateways();
    for (boolean http2 : new boolean[] {false, true}) {
      Map<Auditor.Answer, Integer> answers = new HashMap<>();
      Set<String> writtenInvalid = new HashSet<>();
      for (int seed = 0; seed < 4000; seed++) {
        assertEquals(
            "",
            play(seed, http2, InjectedFault.NONE, answers, writtenInvalid),
            "seed " + seed + (http2 ? " over HTTP/2" : ""));
      }
      assertTrue(
          answers.get(Auditor.Answer.SUCCEEDED) > 5000
              && answers.get(Auditor.Answer.REJECTED) > 1000
              && answers.get(Auditor.Answer.FAILED) > 100
              && writtenInvalid.size() > 1000,
          answers + " " + writtenInvalid.size());
    }
  }

  /** The checks fail if the guard is never checked, or is checked only before the write. */
  @Test
  void injectedFaultsAreDetected() {
    muteGateways();
    for (boolean http2 : new boolean[] {false, true}) {
      assertTrue(
          countFailingHistories(100, http2, InjectedFault.CHECKED_BEFORE_WRITE_ONLY) > 0,
          "checked before the write only");
      assertTrue(
          countFailingHistories(100, http2, InjectedFault.NEVER_CHECKED) > 0, "never checked");
    }
  }
}
