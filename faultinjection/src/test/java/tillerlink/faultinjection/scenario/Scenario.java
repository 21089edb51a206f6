package tillerlink.faultinjection.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import tillerlink.faultinjection.client.MembersClient;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.harness.ScenarioLog;

/** A scenario: steps on a cluster, and the states that its gateways then report. */
final class Scenario {
  private static final long CONDITION_TIMEOUT_MS = 30_000;
  final ScenarioLog log = new ScenarioLog(CONDITION_TIMEOUT_MS);
  private final ProcessCluster cluster;

  Scenario(ProcessCluster cluster) {
    this.cluster = cluster;
  }

  /** Waits until every gateway reports every other as reachable. */
  void awaitConvergence() {
    log.until(
        "all say that they reach each other",
        () -> {
          for (String name : cluster.names()) {
            for (String other : cluster.names()) {
              if (!other.equals(name) && !"reachable".equals(reachability(name, other))) {
                return false;
              }
            }
          }
          return true;
        });
  }

  /** Waits until a gateway reports one of these states of another. */
  void awaitState(String name, String other, String... states) {
    log.until(
        name + " says that " + other + " is " + String.join(" or ", states),
        () -> List.of(states).contains(reachability(name, other)));
  }

  /**
   * During that time a gateway never reports another as gone. That it suspects another for a moment
   * on a busy machine is no fault.
   */
  void assertNeverGivesUp(long ms, String name, String other) throws IOException {
    String observed = "";
    for (long end = System.nanoTime() + ms * 1_000_000; System.nanoTime() < end; pause(50)) {
      String state = reachability(name, other);
      observed =
          List.of("gone", "left", "unknown").contains(state) ? ", BUT ONCE " + state : observed;
    }
    log.record(name + " never gives " + other + " up" + observed);
  }

  String reachability(String name, String other) throws IOException {
    return MembersClient.of(cluster.client(name)).getOrDefault(other, "unknown");
  }

  static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Compares with the kept scenario, and checks that no process reports a violation. */
  void assertKept(String name) throws IOException {
    assertKept(name, log.toString());
    assertEquals(List.of(), cluster.violations());
  }

  /** Compares with the kept scenario; -Dkeep=FOLDER writes it anew. */
  static void assertKept(String name, String events) throws IOException {
    String keep = System.getProperty("keep");
    if (keep != null) {
      Files.writeString(Path.of(keep, name + ".txt"), events);
    }
    try (InputStream in = Scenario.class.getResourceAsStream("/scenarios/" + name + ".txt")) {
      assertEquals(
          in == null ? "(no kept scenario)" : new String(in.readAllBytes(), StandardCharsets.UTF_8),
          events);
    }
  }
}
