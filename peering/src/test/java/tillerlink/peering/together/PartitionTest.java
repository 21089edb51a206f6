package tillerlink.peering.together;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import tillerlink.simulation.Seeds;

/** Tests that membership, channels and statements agree again after a network partition. */
class PartitionTest {
  @Test
  void allComponentsAgreeAfterAPartition() {
    long[] sums = Seeds.play("all three components", 200, PartitionScenario::new);
    System.out.println(
        sums[0]
            + " histories of all three components, seeds from 1: "
            + sums[1]
            + " appends answered, "
            + sums[2]
            + " runs permitted, "
            + sums[3]
            + " runs rejected, "
            + sums[4]
            + " schema changes in effect, agreement "
            + sums[5] / sums[0]
            + " s after healing on average");
    assertTrue(
        sums[0] < 100 || (sums[1] > 5 * sums[0] && sums[2] > 5 * sums[0] && sums[4] > sums[0] / 2));
  }
}
