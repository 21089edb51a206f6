package tillerlink.faultinjection.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.client.HttpEndpointClient;
import tillerlink.faultinjection.client.StatementsClient;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.process.GatewaySpec;

/**
 * Prepared statements while a schema changes, on three processes that are all voters; each scenario
 * has its own group.
 */
class StatementScenarioTest {
  private static final Pattern SENT = Pattern.compile("v([0-9]+) = 1 AND mark = '(m[0-9]+)'");
  private static final AtomicInteger MARKERS = new AtomicInteger();
  private static final AtomicInteger GROUPS = new AtomicInteger(100);
  @TempDir private static Path folder;
  private static ProcessCluster cluster;
  private static final Audit AUDIT = new Audit();

  /**
   * The least time for which a lease that was just renewed lasts: it is of a second and renewed
   * four times in it.
   */
  private static final long LEASE_LEFT_MS = 600;

  private static final long WATCHED_MS = 300;

  /**
   * Where an engine that begins a run waits twice for the scenario: when it is seen, and until it
   * may go on.
   */
  private static final AtomicReference<CyclicBarrier> ENGINE_BARRIER = new AtomicReference<>();

  private Scenario scenario;
  private String name;
  private int group;
  private long before;

  @BeforeAll
  static void start() throws IOException {
    cluster =
        new ProcessCluster(
            folder,
            3,
            new ProcessCluster.Topology(3, 3, 2, 1, GatewaySpec.Shared.STATEMENTS),
            System.getProperty("java.class.path"),
            (engine, command) -> {
              Matcher matcher =
                  SENT.matcher(new String(command.statement(), StandardCharsets.UTF_8));
              if (matcher.find()) {
                AUDIT.ran(engine, matcher.group(2));
                AUDIT.preparedRan(matcher.group(2), engine, Long.parseLong(matcher.group(1)));
                holdEngine();
              }
            });
    cluster.start();
  }

  private static void holdEngine() {
    CyclicBarrier barrier = ENGINE_BARRIER.getAndSet(null);
    if (barrier != null) {
      meet(barrier);
      meet(barrier);
    }
  }

  private static void meet(CyclicBarrier barrier) {
    try {
      barrier.await(30, TimeUnit.SECONDS);
    } catch (InterruptedException | BrokenBarrierException | TimeoutException e) {
      throw new IllegalStateException(e);
    }
  }

  @AfterAll
  static void end() throws IOException {
    cluster.close();
  }

  @BeforeEach
  void begin(TestInfo info) {
    name = info.getTestMethod().orElseThrow().getName();
    group = GROUPS.incrementAndGet();
    scenario = new Scenario(cluster);
    scenario.awaitConvergence();
    scenario.log.until(
        "n0 prepares a statement under the schema v1",
        () ->
            StatementsClient.prepare(
                    cluster.client("n0"),
                    name,
                    "UPDATE air SET seen = 1 WHERE v1 = 1 AND mark = $1",
                    group,
                    group + ":air.v1",
                    true)
                > 0);
    for (String gateway : cluster.names()) {
      awaitRun(gateway, 1);
    }
  }

  private HttpEndpointClient.Reply run(String gateway) throws IOException {
    String marker = "m" + MARKERS.incrementAndGet();
    String id = String.format("%016x", 0x7000 + MARKERS.get());
    AUDIT.submitted(id, marker, true);
    AUDIT.runRequested(marker, gateway, "g" + group, System.nanoTime());
    HttpEndpointClient.Reply reply =
        StatementsClient.run(cluster.client(gateway, 60_000), name, id, marker, 3500);
    AUDIT.answered(id, reply.status() == 404 || reply.status() == 409 ? 503 : reply.status());
    return reply;
  }

  /** Waits until a run at a gateway succeeds under that schema. */
  private void awaitRun(String gateway, int column) {
    scenario.log.until(
        gateway + " runs it under v" + column,
        () -> {
          HttpEndpointClient.Reply reply = run(gateway);
          return reply.status() == 200 && reply.body().contains(" v" + column + " = 1 ");
        });
  }

  private void awaitRejection(String gateway) {
    scenario.log.until(
        gateway + " turns it back, with a time to come again",
        () -> {
          HttpEndpointClient.Reply reply = run(gateway);
          return reply.status() == 503 && reply.retryAfterMs() > 0;
        });
  }

  private void changeSchema() throws IOException {
    before = StatementsClient.version(cluster.client("n0"), group);
    scenario.log.until(
        "n0 is told that v1 is v2 from now on",
        () ->
            StatementsClient.rename(
                    cluster.client("n0"), group, group + ":air.v1", group + ":air.v2")
                > 0);
    awaitEffect("n0");
  }

  private void awaitEffect(String gateway) {
    scenario.log.until(
        gateway + " says that the change is in effect",
        () -> StatementsClient.version(cluster.client(gateway), group) > before);
    AUDIT.schemaInEffect("g" + group, 2, System.nanoTime());
  }

  private void assertKept(String scenarioName) throws IOException {
    assertEquals(List.of(), AUDIT.end());
    scenario.assertKept(scenarioName);
  }

  @Test
  void stoppedGatewayRunsUnderTheNewSchema() throws Exception {
    cluster.gateway("n2").stop();
    scenario.log.record("n2 is stopped");
    CompletableFuture<Integer> early = CompletableFuture.supplyAsync(() -> status("n2"));
    changeSchema();
    awaitRun("n0", 2);
    awaitRun("n1", 2);
    CompletableFuture<Integer> late = CompletableFuture.supplyAsync(() -> status("n2"));
    Scenario.pause(200);
    cluster.gateway("n2").resume();
    scenario.log.record(
        "n2 goes on, and finds what clients asked of it before and after the change");
    scenario.log.until("both are answered", () -> early.get() > 0 && late.get() > 0);
    awaitRun("n2", 2);
    assertKept("statements-stopped");
  }

  private int status(String gateway) {
    try {
      return run(gateway).status();
    } catch (IOException e) {
      return -1;
    }
  }

  /**
   * The engine holds a run of another gateway until the change is announced and has had time to
   * take effect.
   */
  @Test
  void changeWaitsForARunAtAnEngine() throws Exception {
    before = StatementsClient.version(cluster.client("n0"), group);
    CyclicBarrier barrier = new CyclicBarrier(2);
    ENGINE_BARRIER.set(barrier);
    CompletableFuture<HttpEndpointClient.Reply> run =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return run("n1");
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            });
    meet(barrier);
    scenario.log.record("an engine is at a run of n1 under v1");
    long asked = System.nanoTime();
    scenario.log.until(
        "n0 is told that v1 is v2 from now on",
        () ->
            StatementsClient.rename(
                    cluster.client("n0"), group, group + ":air.v1", group + ":air.v2")
                > 0);
    awaitRejection("n1");
    long effectAt = 0;
    for (long end = System.nanoTime() + millis(WATCHED_MS);
        System.nanoTime() < end && effectAt == 0;
        Scenario.pause(5)) {
      effectAt =
          StatementsClient.version(cluster.client("n0"), group) > before ? System.nanoTime() : 0;
    }
    boolean early = effectAt > 0 && effectAt - asked < millis(LEASE_LEFT_MS);
    scenario.log.record(
        "while the engine is at it the change does not take effect"
            + (early ? ", BUT IT DID" : ""));
    meet(barrier);
    scenario.log.until(
        "the engine goes on, and the run is fulfilled under v1",
        () -> {
          HttpEndpointClient.Reply reply = run.get(30, TimeUnit.SECONDS);
          return reply.status() == 200 && reply.body().contains(" v1 = 1 ");
        });
    awaitEffect("n0");
    awaitRun("n0", 2);
    awaitRun("n1", 2);
    assertKept("statements-at-an-engine");
  }

  private static long millis(long ms) {
    return ms * 1_000_000;
  }

  @Test
  void cutOffGatewayRejectsUntilItIsBack() throws Exception {
    cluster.partition(List.of("n0", "n1"), List.of("n2"));
    scenario.log.record("n0 and n1 are parted from n2");
    awaitRejection("n2");
    scenario.log.until(
        "n2 runs what is not prepared",
        () ->
            cluster
                    .client("n2")
                    .submit(
                        "look",
                        String.format("%016x", 0x8000 + MARKERS.incrementAndGet()),
                        "SELECT 1",
                        3500)
                    .status()
                == 200);
    changeSchema();
    awaitRun("n0", 2);
    awaitRejection("n2");
    cluster.heal();
    scenario.log.record("the partition is healed");
    awaitRun("n2", 2);
    assertKept("statements-cut-off");
  }
}
