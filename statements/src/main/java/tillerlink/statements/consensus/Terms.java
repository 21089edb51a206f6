package tillerlink.statements.consensus;

import java.util.Set;
import tillerlink.statements.testing.Plant;

/**
 * How a voter works.
 *
 * @param vouched the operator vouches that disks are never put back from a copy: nobody is asked at
 *     the start
 * @param plants faults that a test planted
 */
public record Terms(boolean vouched, Set<Plant> plants) {
  public Terms {
    plants = Set.copyOf(plants);
  }

  public boolean has(Plant plant) {
    return plants.contains(plant);
  }
}
