package tillerlink.faultinjection.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the schedules drawnKinds from seeds, and a bounded soak of ten gateway processes. */
class SoakTest {
  private static final int GATEWAYS = 10;

  @TempDir private Path folder;

  @Test
  void scheduleFollowsFromTheSeed() {
    assertEquals(SoakSchedule.of(7, GATEWAYS, 20_000), SoakSchedule.of(7, GATEWAYS, 20_000));
    assertNotEquals(SoakSchedule.of(7, GATEWAYS, 20_000), SoakSchedule.of(8, GATEWAYS, 20_000));
  }

  @Test
  void fiftySeedsDrawEveryKindOfFault() {
    Set<SoakFault.Kind> drawnKinds = EnumSet.noneOf(SoakFault.Kind.class);
    for (int seed = 0; seed < 50; seed++) {
      SoakSchedule.of(seed, GATEWAYS, 20_000)
          .faults()
          .forEach(fault -> drawnKinds.add(fault.kind()));
    }
    assertEquals(EnumSet.allOf(SoakFault.Kind.class), drawnKinds);
  }

  /**
   * Runs the soak that CI runs: ten gateway processes under the faults of incident 1
   * (docs/incidents/incident-1.md) and some more, which overlap.
   */
  @Test
  @Timeout(180)
  void rulesHoldUnderOverlappingFaultsOfTenGateways() throws Exception {
    List<SoakFault> faults =
        List.of(
            new SoakFault(500, 2_500, SoakFault.Kind.STOPPED, 0, 0),
            new SoakFault(600, 1_000, SoakFault.Kind.ENGINE_DRAINS, 0, 0),
            new SoakFault(700, 1_000, SoakFault.Kind.KILLED, 1, 0),
            new SoakFault(800, 4_000, SoakFault.Kind.NAMES_LOSSY, 2, 0.5),
            new SoakFault(900, 1_000, SoakFault.Kind.TERMINATED, 3, 0),
            new SoakFault(1_000, 100, SoakFault.Kind.RELOADED_THRICE, 4, 0),
            new SoakFault(1_100, 3_000, SoakFault.Kind.NAMES_WAY_SILENT, 5, 0),
            new SoakFault(1_200, 2_000, SoakFault.Kind.ENGINE_RESETS, 1, 0),
            new SoakFault(2_000, 3_000, SoakFault.Kind.NAMES_DOWN, 6, 0),
            new SoakFault(2_500, 1_500, SoakFault.Kind.ENGINE_CRASHES, 2, 0),
            new SoakFault(3_000, 10, SoakFault.Kind.CLIENTS_FLOOD, 7, 0));
    try (SoakRun run =
        new SoakRun(
            new SoakSchedule(1, GATEWAYS, 6, 7_000, faults),
            folder,
            System.getProperty("java.class.path"))) {
      SoakRun.Result result = run.run();
      assertEquals(List.of(), result.violations());
      assertEquals(
          faults.size(), result.faults().values().stream().mapToInt(Integer::intValue).sum());
      assertTrue(
          result.served() > result.requests() / 2,
          result.served()
              + " of "
              + result.requests()
              + " requests were served, expected more than half");
    }
  }
}
