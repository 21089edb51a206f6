package tillerlink.statements;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.statements.catalog.Outcome;

class StatementsTest {
  @Test
  void healthyClusterPreparesRunsAndChangesStatements() {
    ClusterFixture cluster = new ClusterFixture(1, 3, 2);
    cluster.startAll();
    List<Outcome> outcomes = new ArrayList<>();
    assertTrue(
        cluster.playUntil(5 * ClusterFixture.SECOND, cluster::hasLeader),
        cluster.warnings.toString());
    cluster.prepare(
        "g1", Fixtures.definition("top", "select * from orders_17.orders", 17), outcomes::add);
    assertTrue(cluster.playUntil(ClusterFixture.SECOND, () -> outcomes.size() == 1));
    assertEquals(Outcome.Verdict.DONE, outcomes.get(0).verdict(), outcomes.toString());
    assertTrue(
        cluster.playUntil(ClusterFixture.SECOND, () -> cluster.canRun("g2", "top")),
        cluster.runState("g2", "top"));
    cluster.announce("v1", Fixtures.renamed(17, "town"), outcomes::add);
    assertTrue(
        cluster.playUntil(
            5 * ClusterFixture.SECOND, () -> cluster.statements("g2").catalog().version(17) == 2),
        outcomes.toString());
    assertTrue(
        cluster.playUntil(ClusterFixture.SECOND, () -> cluster.canRun("g2", "top")),
        cluster.runState("g2", "top"));
    assertEquals(
        "select * from orders_17.orders where town = $1",
        cluster.statements("g2").lookUp("top").orElseThrow().definition().text());
    assertTrue(cluster.playUntil(ClusterFixture.SECOND, cluster::hasConverged));
    assertEquals(List.of(), cluster.audit.violations());
  }
}
