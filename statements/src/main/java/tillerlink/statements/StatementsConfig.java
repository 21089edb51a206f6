package tillerlink.statements;

import java.util.List;
import tillerlink.statements.consensus.RaftConfig;
import tillerlink.statements.lease.LeaseConfig;

/**
 * The configuration of prepared statements.
 *
 * @param voters the names of the gateways that vote; the list must be equal on all gateways
 * @param lease the durations of leases
 * @param raft the configuration of the replicated log
 */
public record StatementsConfig(List<String> voters, LeaseConfig lease, RaftConfig raft) {
  /** Creates a configuration with a copy of the list. */
  public StatementsConfig {
    voters = List.copyOf(voters);
  }
}
