package tillerlink.statements;

import java.util.List;
import tillerlink.statements.consensus.RaftConfig;
import tillerlink.statements.lease.LeaseTerms;

/**
 * The configuration of prepared statements.
 *
 * @param voters the names of the gateways that vote, the same on every gateway
 * @param lease how long leases are
 * @param terms how the replicated log works
 */
public record StatementTerms(List<String> voters, LeaseTerms lease, RaftConfig terms) {
  /** Copies the list. */
  public StatementTerms {
    voters = List.copyOf(voters);
  }
}
