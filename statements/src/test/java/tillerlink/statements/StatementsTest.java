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
    TestCluster town = new TestCluster(1, 3, 2);
    town.startAll();
    List<Outcome> outcomes = new ArrayList<>();
    assertTrue(
        town.until(5 * TestCluster.SECOND, () -> !town.leader().equals("none")),
        town.notes.toString());
    town.prepare(
        "g1", TestCluster.definition("top", "select * from orders_17.orders", 17), outcomes::add);
    assertTrue(town.until(TestCluster.SECOND, () -> outcomes.size() == 1));
    assertEquals(Outcome.Verdict.DONE, outcomes.get(0).verdict(), outcomes.toString());
    assertTrue(
        town.until(TestCluster.SECOND, () -> town.mayRun("g2", "top").startsWith("yes")),
        town.mayRun("g2", "top"));
    town.announce("v1", TestCluster.renamed(17, "town"), outcomes::add);
    assertTrue(
        town.until(5 * TestCluster.SECOND, () -> town.part("g2").catalog().version(17) == 2),
        outcomes.toString());
    assertTrue(
        town.until(TestCluster.SECOND, () -> town.mayRun("g2", "top").startsWith("yes")),
        town.mayRun("g2", "top"));
    assertEquals(
        "select * from orders_17.orders where town = $1",
        town.part("g2").lookUp("top").orElseThrow().definition().text());
    assertTrue(town.until(TestCluster.SECOND, town::agree));
    assertEquals(List.of(), town.audit.violations);
  }
}
