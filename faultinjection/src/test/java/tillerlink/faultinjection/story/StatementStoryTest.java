package tillerlink.faultinjection.story;

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
import tillerlink.faultinjection.client.Statements;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.process.Plan;

/**
 * Prepared statements while a schema changes: three processes, all of them voters; each story has a
 * group of its own.
 */
class StatementStoryTest {
  private static final Pattern SENT = Pattern.compile("v([0-9]+) = 1 AND mark = '(m[0-9]+)'");
  private static final AtomicInteger MARKS = new AtomicInteger();
  @TempDir private static Path folder;
  private static ProcessCluster rig;
  private static final Audit AUDIT = new Audit();

  /**
   * For so long a lease that was just renewed is sure to last; the rig's are of a second, renewed
   * four times in it.
   */
  private static final long LEASE_LEFT_MS = 600;

  private static final long WATCHED_MS = 300;

  /**
   * Where an engine that begins with a run waits for two others: that it is seen, and that it may
   * go on.
   */
  private static final AtomicReference<CyclicBarrier> HELD = new AtomicReference<>();

  private Told told;
  private String name;
  private int group;
  private long before;

  @BeforeAll
  static void start() throws IOException {
    rig =
        new ProcessCluster(
            folder,
            3,
            new ProcessCluster.Shape(3, 3, 2, 1, Plan.Shared.STATEMENTS),
            System.getProperty("java.class.path"),
            (engine, command) -> {
              Matcher matcher =
                  SENT.matcher(new String(command.statement(), StandardCharsets.UTF_8));
              if (matcher.find()) {
                AUDIT.ran(engine, matcher.group(2));
                AUDIT.preparedRan(matcher.group(2), engine, Long.parseLong(matcher.group(1)));
                engineIsAtIt();
              }
            });
    rig.start();
  }

  private static void engineIsAtIt() {
    CyclicBarrier held = HELD.getAndSet(null);
    if (held != null) {
      meet(held);
      meet(held);
    }
  }

  private static void meet(CyclicBarrier held) {
    try {
      held.await(30, TimeUnit.SECONDS);
    } catch (InterruptedException | BrokenBarrierException | TimeoutException e) {
      throw new IllegalStateException(e);
    }
  }

  @AfterAll
  static void end() throws IOException {
    rig.close();
  }

  @BeforeEach
  void begin(TestInfo info) {
    name = info.getTestMethod().orElseThrow().getName();
    group = 100 + name.length();
    told = new Told(rig);
    told.together();
    told.timeline.until(
        "n0 prepares a statement under the schema v1",
        () ->
            Statements.prepare(
                    rig.client("n0"),
                    name,
                    "UPDATE air SET seen = 1 WHERE v1 = 1 AND mark = $1",
                    group,
                    group + ":air.v1",
                    true)
                > 0);
    for (String gateway : rig.names()) {
      runs(gateway, 1);
    }
  }

  private HttpEndpointClient.Reply run(String gateway) throws IOException {
    String mark = "m" + MARKS.incrementAndGet();
    String id = String.format("%016x", 0x7000 + MARKS.get());
    AUDIT.handedIn(id, mark, true);
    AUDIT.runAsked(mark, gateway, "g" + group, System.nanoTime());
    HttpEndpointClient.Reply reply =
        Statements.run(rig.client(gateway, 60_000), name, id, mark, 3500);
    AUDIT.answered(id, reply.status() == 404 || reply.status() == 409 ? 503 : reply.status());
    return reply;
  }

  /** Waits until a run there is succeeded under that schema. */
  private void runs(String gateway, int column) {
    told.timeline.until(
        gateway + " runs it under v" + column,
        () -> {
          HttpEndpointClient.Reply reply = run(gateway);
          return reply.status() == 200 && reply.body().contains(" v" + column + " = 1 ");
        });
  }

  private void turnsBack(String gateway) {
    told.timeline.until(
        gateway + " turns it back, with a time to come again",
        () -> {
          HttpEndpointClient.Reply reply = run(gateway);
          return reply.status() == 503 && reply.retryAfterMs() > 0;
        });
  }

  private void changes() throws IOException {
    before = Statements.version(rig.client("n0"), group);
    told.timeline.until(
        "n0 is told that v1 is v2 from now on",
        () -> Statements.rename(rig.client("n0"), group, group + ":air.v1", group + ":air.v2") > 0);
    inEffect("n0");
  }

  private void inEffect(String gateway) {
    told.timeline.until(
        gateway + " says that the change is in effect",
        () -> Statements.version(rig.client(gateway), group) > before);
    AUDIT.effect("g" + group, 2, System.nanoTime());
  }

  private void kept(String story) throws IOException {
    assertEquals(List.of(), AUDIT.end());
    told.kept(story);
  }

  @Test
  void aChangeWhileOneIsStopped() throws Exception {
    rig.gateway("n2").stop();
    told.timeline.note("n2 is stopped");
    CompletableFuture<Integer> early = CompletableFuture.supplyAsync(() -> status("n2"));
    changes();
    runs("n0", 2);
    runs("n1", 2);
    CompletableFuture<Integer> late = CompletableFuture.supplyAsync(() -> status("n2"));
    Told.pause(200);
    rig.gateway("n2").goOn();
    told.timeline.note(
        "n2 goes on, and finds what clients asked of it before and after the change");
    told.timeline.until("both are answered", () -> early.get() > 0 && late.get() > 0);
    runs("n2", 2);
    kept("statements-stopped");
  }

  private int status(String gateway) {
    try {
      return run(gateway).status();
    } catch (IOException e) {
      return -1;
    }
  }

  /**
   * The engine holds a run of another gateway until the change was announced and had time to take
   * effect.
   */
  @Test
  void aChangeWhileARunIsAtAnEngine() throws Exception {
    before = Statements.version(rig.client("n0"), group);
    CyclicBarrier held = new CyclicBarrier(2);
    HELD.set(held);
    CompletableFuture<HttpEndpointClient.Reply> run =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return run("n1");
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            });
    meet(held);
    told.timeline.note("an engine is at a run of n1 under v1");
    long asked = System.nanoTime();
    told.timeline.until(
        "n0 is told that v1 is v2 from now on",
        () -> Statements.rename(rig.client("n0"), group, group + ":air.v1", group + ":air.v2") > 0);
    turnsBack("n1");
    long effectAt = 0;
    for (long end = System.nanoTime() + millis(WATCHED_MS);
        System.nanoTime() < end && effectAt == 0;
        Told.pause(5)) {
      effectAt = Statements.version(rig.client("n0"), group) > before ? System.nanoTime() : 0;
    }
    boolean early = effectAt > 0 && effectAt - asked < millis(LEASE_LEFT_MS);
    told.timeline.note(
        "while the engine is at it the change does not take effect"
            + (early ? ", BUT IT DID" : ""));
    meet(held);
    told.timeline.until(
        "the engine goes on, and the run is fulfilled under v1",
        () -> {
          HttpEndpointClient.Reply reply = run.get(30, TimeUnit.SECONDS);
          return reply.status() == 200 && reply.body().contains(" v1 = 1 ");
        });
    inEffect("n0");
    runs("n0", 2);
    runs("n1", 2);
    kept("statements-at-an-engine");
  }

  private static long millis(long ms) {
    return ms * 1_000_000;
  }

  @Test
  void aChangeWhileOneIsCutOff() throws Exception {
    rig.part(List.of("n0", "n1"), List.of("n2"));
    told.timeline.note("n0 and n1 are parted from n2");
    turnsBack("n2");
    told.timeline.until(
        "n2 runs what is not prepared",
        () ->
            rig.client("n2")
                    .submit(
                        "look",
                        String.format("%016x", 0x8000 + MARKS.incrementAndGet()),
                        "SELECT 1",
                        3500)
                    .status()
                == 200);
    changes();
    runs("n0", 2);
    turnsBack("n2");
    rig.heal();
    told.timeline.note("the partition is healed");
    runs("n2", 2);
    kept("statements-cut-off");
  }
}
