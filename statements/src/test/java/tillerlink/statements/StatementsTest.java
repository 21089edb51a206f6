package tillerlink.statements;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.statements.catalog.Outcome;

class StatementsTest {
  @Test
  void aCalmFleetPreparesRunsAndChanges() {
    ClusterFixture cluster = new ClusterFixture(1, 3, 2);
    cluster.startAll();
    List<Outcome> outcomes = new ArrayList<>();
    assertTrue(
        cluster.until(5 * ClusterFixture.SECOND, () -> !cluster.leader().equals("none")),
        cluster.notes.toString());
    cluster.prepare(
        "g1",
        ClusterFixture.definition("top", "select * from orders_17.orders", 17),
        outcomes::add);
    assertTrue(cluster.until(ClusterFixture.SECOND, () -> outcomes.size() == 1));
    assertEquals(Outcome.Verdict.DONE, outcomes.get(0).verdict(), outcomes.toString());
    assertTrue(
        cluster.until(ClusterFixture.SECOND, () -> cluster.mayRun("g2", "top").startsWith("yes")),
        cluster.mayRun("g2", "top"));
    cluster.announce("v1", ClusterFixture.renamed(17, "town"), outcomes::add);
    assertTrue(
        cluster.until(
            5 * ClusterFixture.SECOND, () -> cluster.part("g2").catalog().version(17) == 2),
        outcomes.toString());
    assertTrue(
        cluster.until(ClusterFixture.SECOND, () -> cluster.mayRun("g2", "top").startsWith("yes")),
        cluster.mayRun("g2", "top"));
    assertEquals(
        "select * from orders_17.orders where town = $1",
        cluster.part("g2").lookUp("top").orElseThrow().definition().text());
    assertTrue(cluster.until(ClusterFixture.SECOND, cluster::agree));
    assertEquals(List.of(), cluster.audit.violations);
  }
}
