package tillerlink.faultinjection.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.faultinjection.process.GatewaySpec;
import tillerlink.faultinjection.schedule.RunResult;
import tillerlink.faultinjection.schedule.Schedule;
import tillerlink.faultinjection.schedule.ScheduleRunner;
import tillerlink.faultinjection.schedule.Step;

/**
 * Tests all shared-state components under load through a partition, during which one gateway is
 * stopped and another is killed, and then through duplicated and reordered datagrams.
 */
class AllAtOnceScenarioTest {
  @TempDir private Path folder;

  @Test
  void rulesHoldThroughOverlappingFaultsUnderLoad() throws IOException {
    Schedule schedule =
        new Schedule(
            11,
            3,
            3,
            6000,
            List.of(
                new Step(500, Step.Kind.PARTED, "n1", "", 4000, 0),
                new Step(1500, Step.Kind.STOPPED, "n2", "", 1500, 0),
                new Step(3300, Step.Kind.KILLED, "n0", "", 400, 0),
                new Step(4600, Step.Kind.MUDDLED, "n1", "", 1200, 0.3)));
    RunResult result =
        new ScheduleRunner(
                folder, System.getProperty("java.class.path"), GatewaySpec.Shared.STATEMENTS)
            .run(schedule);
    assertEquals(List.of(), result.violations());
    assertEquals(4, result.faults().size(), "number of injected faults");
    Scenario.assertMatchesStored("all-at-once", schedule + "every rule holds\n");
    assertTrue(
        result.requests() > 50 && result.appends() > 50 && result.runs() > 50, result.toString());
  }
}
