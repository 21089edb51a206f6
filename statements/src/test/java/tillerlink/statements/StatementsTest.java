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
    TestCluster cluster = new TestCluster(1, 3, 2);
    cluster.startAll();
    List<Outcome> outcomes = new ArrayList<>();
    assertTrue(
        cluster.until(5 * TestCluster.SECOND, () -> !cluster.leader().equals("none")),
        cluster.notes.toString());
    cluster.prepare(
        "g1", TestCluster.definition("top", "select * from orders_17.orders", 17), outcomes::add);
    assertTrue(cluster.until(TestCluster.SECOND, () -> outcomes.size() == 1));
    assertEquals(Outcome.Verdict.DONE, outcomes.get(0).verdict(), outcomes.toString());
    assertTrue(
        cluster.until(TestCluster.SECOND, () -> cluster.mayRun("g2", "top").startsWith("yes")),
        cluster.mayRun("g2", "top"));
    cluster.announce("v1", TestCluster.renamed(17, "town"), outcomes::add);
    assertTrue(
        cluster.until(5 * TestCluster.SECOND, () -> cluster.part("g2").catalog().version(17) == 2),
        outcomes.toString());
    assertTrue(
        cluster.until(TestCluster.SECOND, () -> cluster.mayRun("g2", "top").startsWith("yes")),
        cluster.mayRun("g2", "top"));
    assertEquals(
        "select * from orders_17.orders where town = $1",
        cluster.part("g2").lookUp("top").orElseThrow().definition().text());
    assertTrue(cluster.until(TestCluster.SECOND, cluster::agree));
    assertEquals(List.of(), cluster.audit.violations);
  }
}
