package tillerlink.faultinjection.story;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.faultinjection.fabric.Fault;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.process.Plan;

/** Who is there: three processes, and what befalls one or a way between two. */
class MembersStoryTest {
  @TempDir private static Path folder;
  private static ProcessCluster rig;
  private Told told;

  @BeforeAll
  static void start() throws IOException {
    rig =
        new ProcessCluster(
            folder,
            1,
            new ProcessCluster.Shape(3, 3, 1, 1, Plan.Shared.MEMBERS),
            System.getProperty("java.class.path"),
            (engine, command) -> {});
    rig.start();
  }

  @AfterAll
  static void end() throws IOException {
    rig.close();
  }

  @BeforeEach
  void begin() {
    told = new Told(rig);
    told.together();
  }

  @Test
  void oneIsStoppedAndComesBack() throws IOException {
    rig.gateway("n2").stop();
    told.timeline.note("n2 is stopped");
    told.says("n0", "n2", "gone");
    told.says("n1", "n2", "gone");
    told.says("n0", "n1", "reachable");
    rig.gateway("n2").goOn();
    told.timeline.note("n2 goes on");
    told.says("n2", "n0", "reachable");
    told.together();
    told.kept("members-stopped");
  }

  @Test
  void aOneSidedCut() throws IOException {
    rig.fabric.set("n0", "n1", Fault.CUT);
    told.timeline.note("what n0 sends to n1 is lost");
    told.says("n1", "n0", "through others");
    told.neverGivesUp(1500, "n1", "n0");
    told.neverGivesUp(1500, "n0", "n1");
    told.neverGivesUp(500, "n2", "n0");
    rig.heal();
    told.timeline.note("the way is healed");
    told.together();
    told.kept("members-one-sided");
  }

  @Test
  void twoAreCutThatReachAThird() throws IOException {
    rig.part(List.of("n0"), List.of("n1"));
    told.timeline.note("nothing gets between n0 and n1");
    told.says("n0", "n1", "through others");
    told.says("n1", "n0", "through others");
    told.neverGivesUp(1000, "n0", "n1");
    told.neverGivesUp(1000, "n1", "n0");
    told.neverGivesUp(500, "n2", "n0");
    rig.heal();
    told.timeline.note("the way is healed");
    told.together();
    told.kept("members-through-others");
  }

  @Test
  void aPartitionAndItsHealing() throws IOException {
    rig.part(List.of("n0", "n1"), List.of("n2"));
    told.timeline.note("n0 and n1 are parted from n2");
    told.says("n0", "n2", "gone");
    told.says("n1", "n2", "gone");
    told.says("n2", "n0", "gone");
    told.says("n2", "n1", "gone");
    told.says("n0", "n1", "reachable");
    rig.heal();
    told.timeline.note("the partition is healed");
    told.together();
    told.kept("members-parted");
  }

  private void startedAgain() throws IOException {
    rig.gateway("n1").start();
    rig.awaitHealthy("n1");
    told.timeline.note("n1 is started again");
    told.together();
  }

  @Test
  void oneIsKilledAndStartsAgain() throws IOException {
    rig.gateway("n1").kill();
    told.timeline.note("n1 is killed");
    told.says("n0", "n1", "gone");
    told.says("n2", "n1", "gone");
    startedAgain();
    told.kept("members-killed");
  }

  @Test
  void oneLeaves() throws IOException {
    rig.gateway("n1").leave();
    told.timeline.note("n1 is told to end, and ends");
    told.says("n0", "n1", "left");
    told.says("n2", "n1", "left");
    startedAgain();
    told.kept("members-left");
  }
}
