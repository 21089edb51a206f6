package tillerlink.faultinjection.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.faultinjection.play.Play;
import tillerlink.faultinjection.play.Played;
import tillerlink.faultinjection.play.Schedule;
import tillerlink.faultinjection.play.Step;
import tillerlink.faultinjection.process.Plan;

/**
 * All three parts with load at every gateway: a partition, within which one is stopped and another
 * killed.
 */
class AllAtOnceStoryTest {
  @TempDir private Path folder;

  @Test
  void aPartitionUnderLoad() throws IOException {
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
    Played played =
        new Play(folder, System.getProperty("java.class.path"), Plan.Shared.STATEMENTS)
            .play(schedule);
    assertEquals(List.of(), played.violations());
    assertEquals(4, played.faults().size(), "all of it befell");
    Told.kept("all-at-once", schedule + "every rule holds\n");
    assertTrue(
        played.requests() > 50 && played.appends() > 50 && played.runs() > 50, played.toString());
  }
}
