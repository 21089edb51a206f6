package tillerlink.faultinjection.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.network.LinkBehaviour;
import tillerlink.faultinjection.process.GatewaySpec;

/**
 * Tests the membership that three gateway processes report while one of them or the link between
 * two of them is faulty.
 */
class MembersScenarioTest {
  @TempDir private static Path folder;
  private static ProcessCluster cluster;
  private Scenario scenario;

  @BeforeAll
  static void start() throws IOException {
    cluster =
        new ProcessCluster(
            folder,
            1,
            new ProcessCluster.Topology(3, 3, 1, 1, GatewaySpec.Shared.MEMBERS),
            System.getProperty("java.class.path"),
            (engine, command) -> {});
    cluster.start();
  }

  @AfterAll
  static void end() throws IOException {
    cluster.close();
  }

  @BeforeEach
  void begin() {
    scenario = new Scenario(cluster);
    scenario.awaitConvergence();
  }

  @Test
  void stoppedMemberIsReportedGoneUntilItResumes() throws IOException {
    cluster.gateway("n2").stop();
    scenario.log.record("n2 is stopped");
    scenario.awaitState("n0", "n2", "gone");
    scenario.awaitState("n1", "n2", "gone");
    scenario.awaitState("n0", "n1", "reachable");
    cluster.gateway("n2").resume();
    scenario.log.record("n2 goes on");
    scenario.awaitState("n2", "n0", "reachable");
    scenario.awaitConvergence();
    scenario.assertMatchesStored("members-stopped");
  }

  @Test
  void oneWayCutIsBypassedThroughTheThirdMember() throws IOException {
    cluster.network().set("n0", "n1", LinkBehaviour.CUT);
    scenario.log.record("what n0 sends to n1 is lost");
    scenario.awaitState("n1", "n0", "through others");
    scenario.assertNeverReportedGone(1500, "n1", "n0");
    scenario.assertNeverReportedGone(1500, "n0", "n1");
    scenario.assertNeverReportedGone(500, "n2", "n0");
    cluster.heal();
    scenario.log.record("the way is healed");
    scenario.awaitConvergence();
    scenario.assertMatchesStored("members-one-sided");
  }

  @Test
  void cutBetweenTwoIsBypassedThroughTheThirdMember() throws IOException {
    cluster.partition(List.of("n0"), List.of("n1"));
    scenario.log.record("nothing gets between n0 and n1");
    scenario.awaitState("n0", "n1", "through others");
    scenario.awaitState("n1", "n0", "through others");
    scenario.assertNeverReportedGone(1000, "n0", "n1");
    scenario.assertNeverReportedGone(1000, "n1", "n0");
    scenario.assertNeverReportedGone(500, "n2", "n0");
    cluster.heal();
    scenario.log.record("the way is healed");
    scenario.awaitConvergence();
    scenario.assertMatchesStored("members-through-others");
  }

  @Test
  void partitionedMembersAreReportedGoneUntilThePartitionHeals() throws IOException {
    cluster.partition(List.of("n0", "n1"), List.of("n2"));
    scenario.log.record("n0 and n1 are parted from n2");
    scenario.awaitState("n0", "n2", "gone");
    scenario.awaitState("n1", "n2", "gone");
    scenario.awaitState("n2", "n0", "gone");
    scenario.awaitState("n2", "n1", "gone");
    scenario.awaitState("n0", "n1", "reachable");
    cluster.heal();
    scenario.log.record("the partition is healed");
    scenario.awaitConvergence();
    scenario.assertMatchesStored("members-parted");
  }

  /** Starts n1 again and waits until all gateways reach each other. */
  private void restartN1() throws IOException {
    cluster.gateway("n1").start();
    cluster.awaitHealthy("n1");
    scenario.log.record("n1 is started again");
    scenario.awaitConvergence();
  }

  @Test
  void killedMemberIsReportedGoneUntilItRestarts() throws IOException {
    cluster.gateway("n1").kill();
    scenario.log.record("n1 is killed");
    scenario.awaitState("n0", "n1", "gone");
    scenario.awaitState("n2", "n1", "gone");
    restartN1();
    scenario.assertMatchesStored("members-killed");
  }

  @Test
  void terminatedMemberIsReportedAsLeft() throws IOException {
    cluster.gateway("n1").terminate();
    scenario.log.record("n1 is told to end, and ends");
    scenario.awaitState("n0", "n1", "left");
    scenario.awaitState("n2", "n1", "left");
    restartN1();
    scenario.assertMatchesStored("members-left");
  }
}
