package tillerlink.peering.together;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import tillerlink.simulation.Seeds;

/** Membership, channels and statements on the same gateways under one partition. */
class PartitionTest {
  @Test
  void allComponentsAgreeAfterAPartition() {
    long[] sums = Seeds.play("all three parts", 200, PartitionScenario::new);
    System.out.println(
        sums[0]
            + " histories of all three parts, seeds from 1: "
            + sums[1]
            + " appends answered, "
            + sums[2]
            + " runs, "
            + sums[3]
            + " turned back, "
            + sums[4]
            + " changes in effect, agreed "
            + sums[5] / sums[0]
            + " s after calm on average");
    assertTrue(
        sums[0] < 100 || (sums[1] > 5 * sums[0] && sums[2] > 5 * sums[0] && sums[4] > sums[0] / 2));
  }
}
