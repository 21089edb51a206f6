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

/**
 * A scenario: a log of the steps applied to a cluster and of the states that its gateways then
 * report.
 */
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

  /** Waits until a gateway reports another in one of the given states. */
  void awaitState(String name, String other, String... states) {
    log.until(
        name + " says that " + other + " is " + String.join(" or ", states),
        () -> List.of(states).contains(reachability(name, other)));
  }

  /**
   * Checks for some time that a gateway does not report another as gone, left or unknown, and
   * records the result. A short suspicion is allowed, because a busy machine delays probes.
   *
   * @param ms how long to check, in milliseconds
   */
  void assertNeverReportedGone(long ms, String name, String other) throws IOException {
    String observed = "";
    for (long end = System.nanoTime() + ms * 1_000_000; System.nanoTime() < end; pause(50)) {
      String state = reachability(name, other);
      observed =
          List.of("gone", "left", "unknown").contains(state) ? ", BUT ONCE " + state : observed;
    }
    log.record(name + " never gives " + other + " up" + observed);
  }

  /** Returns the state that a gateway reports of another, "unknown" if it reports none. */
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

  /** Asserts that the log equals the stored scenario and that no process reports a violation. */
  void assertMatchesStored(String name) throws IOException {
    assertMatchesStored(name, log.toString());
    assertEquals(List.of(), cluster.violations());
  }

  /**
   * Asserts that events equal a stored scenario. With {@code -Dkeep=FOLDER} the events are also
   * written to that folder, to replace the stored scenario.
   *
   * @param name the file name of the stored scenario, without its extension
   */
  static void assertMatchesStored(String name, String events) throws IOException {
    String outputFolder = System.getProperty("keep");
    if (outputFolder != null) {
      Files.writeString(Path.of(outputFolder, name + ".txt"), events);
    }
    try (InputStream in = Scenario.class.getResourceAsStream("/scenarios/" + name + ".txt")) {
      assertEquals(
          in == null
              ? "(no stored scenario of that name)"
              : new String(in.readAllBytes(), StandardCharsets.UTF_8),
          events);
    }
  }
}
