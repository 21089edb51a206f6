package tillerlink.statements.consensus;

import java.util.Set;
import tillerlink.statements.testing.InjectedFault;

/**
 * How a voter works.
 *
 * @param vouched the operator vouches that disks are never put back from a copy: nobody is asked at
 *     the start
 * @param plants faults that a test planted
 */
public record RaftConfig(boolean vouched, Set<InjectedFault> plants) {
  public RaftConfig {
    plants = Set.copyOf(plants);
  }

  public boolean has(InjectedFault plant) {
    return plants.contains(plant);
  }
}
