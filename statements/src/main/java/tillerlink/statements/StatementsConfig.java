package tillerlink.statements;

import java.util.List;
import tillerlink.statements.consensus.RaftConfig;
import tillerlink.statements.lease.LeaseConfig;

/**
 * The configuration of prepared statements.
 *
 * @param voters the names of the gateways that vote, the same on every gateway
 * @param lease how long leases are
 * @param raft how the replicated log works
 */
public record StatementsConfig(List<String> voters, LeaseConfig lease, RaftConfig raft) {
  /** Copies the list. */
  public StatementsConfig {
    voters = List.copyOf(voters);
  }
}
