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
 * Tests prepared statements while a schema changes, on three gateway processes that are all voters.
 * Each scenario uses its own group.
 */
class StatementScenarioTest {
  private static final Pattern MARKED_RUN = Pattern.compile("v([0-9]+) = 1 AND mark = '(m[0-9]+)'");
  private static final AtomicInteger MARKER_COUNT = new AtomicInteger();
  private static final AtomicInteger GROUP_COUNT = new AtomicInteger(100);
  @TempDir private static Path folder;
  private static ProcessCluster cluster;
  private static final Audit AUDIT = new Audit();

  /**
   * A lower bound of the remaining time of a lease, in milliseconds: leases last one second and are
   * renewed four times within it. A change that takes effect within this time after its
   * announcement can't have waited for the lease to expire.
   */
  private static final long MIN_REMAINING_LEASE_MS = 600;

  /** How long a scenario checks that the change does not take effect. */
  private static final long OBSERVATION_MS = 300;

  /**
   * The barrier at which the next engine that starts a run waits twice for the scenario: once to
   * announce that it has started, and once until it may continue. Null if engines must not wait.
   */
  private static final AtomicReference<CyclicBarrier> ENGINE_BARRIER = new AtomicReference<>();

  private Scenario scenario;
  private String statementName;
  private int group;
  private long versionBeforeChange;

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
                  MARKED_RUN.matcher(new String(command.statement(), StandardCharsets.UTF_8));
              if (matcher.find()) {
                AUDIT.ran(engine, matcher.group(2));
                AUDIT.preparedRan(matcher.group(2), engine, Long.parseLong(matcher.group(1)));
                blockEngine();
              }
            });
    cluster.start();
  }

  private static void blockEngine() {
    CyclicBarrier barrier = ENGINE_BARRIER.getAndSet(null);
    if (barrier != null) {
      awaitBarrier(barrier);
      awaitBarrier(barrier);
    }
  }

  private static void awaitBarrier(CyclicBarrier barrier) {
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
    statementName = info.getTestMethod().orElseThrow().getName();
    group = GROUP_COUNT.incrementAndGet();
    scenario = new Scenario(cluster);
    scenario.awaitConvergence();
    scenario.log.until(
        "n0 prepares a statement under the schema v1",
        () ->
            StatementsClient.prepare(
                    cluster.client("n0"),
                    statementName,
                    "UPDATE air SET seen = 1 WHERE v1 = 1 AND mark = $1",
                    group,
                    group + ":air.v1",
                    true)
                > 0);
    for (String gateway : cluster.names()) {
      awaitRun(gateway, 1);
    }
  }

  /**
   * Runs the statement at a gateway with a unique marker, by which the audit recognizes the run.
   * The audit is given the statuses 404 and 409 as 503, because they also mean that nothing ran.
   */
  private HttpEndpointClient.Reply run(String gateway) throws IOException {
    String marker = "m" + MARKER_COUNT.incrementAndGet();
    String id = String.format("%016x", 0x7000 + MARKER_COUNT.get());
    AUDIT.submitted(id, marker, true);
    AUDIT.runRequested(marker, gateway, "g" + group, System.nanoTime());
    HttpEndpointClient.Reply reply =
        StatementsClient.run(cluster.client(gateway, 60_000), statementName, id, marker, 3500);
    AUDIT.answered(id, reply.status() == 404 || reply.status() == 409 ? 503 : reply.status());
    return reply;
  }

  /**
   * Waits until a run at a gateway succeeds under a version of the schema.
   *
   * @param column the number in the name of the column that the executed statement must use
   */
  private void awaitRun(String gateway, int column) {
    scenario.log.until(
        gateway + " runs it under v" + column,
        () -> {
          HttpEndpointClient.Reply reply = run(gateway);
          return reply.status() == 200 && reply.body().contains(" v" + column + " = 1 ");
        });
  }

  /** Waits until a gateway rejects a run with status 503 and a time after which to retry. */
  private void awaitRejection(String gateway) {
    scenario.log.until(
        gateway + " turns it back, with a time to come again",
        () -> {
          HttpEndpointClient.Reply reply = run(gateway);
          return reply.status() == 503 && reply.retryAfterMs() > 0;
        });
  }

  /** Renames the column through n0 and waits until n0 reports that the change is in effect. */
  private void changeSchema() throws IOException {
    versionBeforeChange = StatementsClient.version(cluster.client("n0"), group);
    scenario.log.until(
        "n0 is told that v1 is v2 from now on",
        () ->
            StatementsClient.rename(
                    cluster.client("n0"), group, group + ":air.v1", group + ":air.v2")
                > 0);
    awaitSchemaInEffect("n0");
  }

  /** Waits until a gateway reports that the schema change is in effect. */
  private void awaitSchemaInEffect(String gateway) {
    scenario.log.until(
        gateway + " says that the change is in effect",
        () -> StatementsClient.version(cluster.client(gateway), group) > versionBeforeChange);
    AUDIT.schemaInEffect("g" + group, 2, System.nanoTime());
  }

  private void assertMatchesStored(String scenarioName) throws IOException {
    assertEquals(List.of(), AUDIT.end());
    scenario.assertMatchesStored(scenarioName);
  }

  @Test
  void resumedGatewayRunsUnderTheNewSchema() throws Exception {
    cluster.gateway("n2").stop();
    scenario.log.record("n2 is stopped");
    CompletableFuture<Integer> sentBeforeChange = CompletableFuture.supplyAsync(() -> status("n2"));
    changeSchema();
    awaitRun("n0", 2);
    awaitRun("n1", 2);
    CompletableFuture<Integer> sentAfterChange = CompletableFuture.supplyAsync(() -> status("n2"));
    Scenario.pause(200);
    cluster.gateway("n2").resume();
    scenario.log.record(
        "n2 goes on, and finds what clients asked of it before and after the change");
    scenario.log.until(
        "both are answered", () -> sentBeforeChange.get() > 0 && sentAfterChange.get() > 0);
    awaitRun("n2", 2);
    assertMatchesStored("statements-stopped");
  }

  /** Returns the status of a run at a gateway, or -1 if its connection failed. */
  private int status(String gateway) {
    try {
      return run(gateway).status();
    } catch (IOException e) {
      return -1;
    }
  }

  /**
   * Guards against a schema change that takes effect while an engine still executes a run under the
   * old schema. The engine blocks a run of n1 while n0 announces the change and has had time to put
   * it into effect.
   */
  @Test
  void changeWaitsForARunAtAnEngine() throws Exception {
    versionBeforeChange = StatementsClient.version(cluster.client("n0"), group);
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
    awaitBarrier(barrier);
    scenario.log.record("an engine is at a run of n1 under v1");
    long announcedAt = System.nanoTime();
    scenario.log.until(
        "n0 is told that v1 is v2 from now on",
        () ->
            StatementsClient.rename(
                    cluster.client("n0"), group, group + ":air.v1", group + ":air.v2")
                > 0);
    awaitRejection("n1");
    long effectAt = 0;
    for (long end = System.nanoTime() + nanos(OBSERVATION_MS);
        System.nanoTime() < end && effectAt == 0;
        Scenario.pause(5)) {
      effectAt =
          StatementsClient.version(cluster.client("n0"), group) > versionBeforeChange
              ? System.nanoTime()
              : 0;
    }
    boolean tookEffectEarly =
        effectAt > 0 && effectAt - announcedAt < nanos(MIN_REMAINING_LEASE_MS);
    scenario.log.record(
        "while the engine is at it the change does not take effect"
            + (tookEffectEarly ? ", BUT IT DID" : ""));
    awaitBarrier(barrier);
    scenario.log.until(
        "the engine goes on, and the run is fulfilled under v1",
        () -> {
          HttpEndpointClient.Reply reply = run.get(30, TimeUnit.SECONDS);
          return reply.status() == 200 && reply.body().contains(" v1 = 1 ");
        });
    awaitSchemaInEffect("n0");
    awaitRun("n0", 2);
    awaitRun("n1", 2);
    assertMatchesStored("statements-at-an-engine");
  }

  /** Converts milliseconds to nanoseconds. */
  private static long nanos(long ms) {
    return ms * 1_000_000;
  }

  @Test
  void partitionedGatewayRejectsRunsUntilThePartitionHeals() throws Exception {
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
                        String.format("%016x", 0x8000 + MARKER_COUNT.incrementAndGet()),
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
    assertMatchesStored("statements-cut-off");
  }
}
