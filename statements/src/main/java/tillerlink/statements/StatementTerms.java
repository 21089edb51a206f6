package tillerlink.statements;

import java.util.List;
import tillerlink.statements.consensus.RaftConfig;
import tillerlink.statements.lease.LeaseTerms;

/**
 * How prepared statements are kept.
 *
 * @param voters the stated voters, the same on every gateway
 */
public record StatementTerms(List<String> voters, LeaseTerms lease, RaftConfig terms) {
  public StatementTerms {
    voters = List.copyOf(voters);
  }
}
