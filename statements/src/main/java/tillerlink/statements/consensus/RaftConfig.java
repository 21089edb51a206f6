package tillerlink.statements.consensus;

import java.util.Set;
import tillerlink.statements.testing.InjectedFault;

/**
 * How a voter works.
 *
 * @param vouched the operator vouches that disks are never restored from a copy: a voter that
 *     starts does not ask the others how far it was
 * @param injectedFaults faults that a test injects; none on a gateway
 */
public record RaftConfig(boolean vouched, Set<InjectedFault> injectedFaults) {
  /** Copies the set. */
  public RaftConfig {
    injectedFaults = Set.copyOf(injectedFaults);
  }

  /** Whether a test injects that fault. */
  public boolean injects(InjectedFault fault) {
    return injectedFaults.contains(fault);
  }
}
