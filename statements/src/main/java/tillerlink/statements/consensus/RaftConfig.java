package tillerlink.statements.consensus;

import java.util.Set;
import tillerlink.statements.testing.InjectedFault;

/**
 * The configuration of a voter.
 *
 * @param vouched whether the operator guarantees that disks are never restored from a copy; if so,
 *     a starting voter takes part without asking the others about its earlier state
 * @param injectedFaults the faults that a test injects; empty on a gateway
 */
public record RaftConfig(boolean vouched, Set<InjectedFault> injectedFaults) {
  /** Creates a configuration with a copy of the set of faults. */
  public RaftConfig {
    injectedFaults = Set.copyOf(injectedFaults);
  }

  /** Returns whether a test injects a fault. */
  public boolean injects(InjectedFault fault) {
    return injectedFaults.contains(fault);
  }
}
