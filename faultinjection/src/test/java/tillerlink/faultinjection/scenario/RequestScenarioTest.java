package tillerlink.faultinjection.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.process.GatewaySpec;

/**
 * Tests the harness itself: a single gateway forwards requests to engines and terminates without a
 * violation.
 */
class RequestScenarioTest {
  @TempDir private Path folder;

  @Test
  void singleGatewayForwardsRequests() throws Exception {
    Audit audit = new Audit();
    try (ProcessCluster cluster =
        new ProcessCluster(
            folder,
            1,
            new ProcessCluster.Topology(1, 1, 2, 1, GatewaySpec.Shared.NOTHING),
            System.getProperty("java.class.path"),
            (engine, command) ->
                audit.ran(engine, new String(command.statement(), StandardCharsets.UTF_8)))) {
      cluster.start();
      for (int i = 0; i < 20; i++) {
        String id = String.format("%016x", i);
        String statement = "UPDATE t SET x = " + i;
        audit.submitted(id, statement, true);
        audit.answered(id, cluster.client("n0").submit("book", id, statement, 3000).status());
      }
      cluster.gateway("n0").terminate();
      assertEquals(List.of(), cluster.violations());
    }
    assertEquals(List.of(), audit.end());
    assertEquals(20, audit.requests());
  }
}
