package tillerlink.statements;

import java.util.List;
import tillerlink.statements.consensus.Terms;
import tillerlink.statements.lease.LeaseTerms;

/**
 * How prepared statements are kept.
 *
 * @param voters the stated voters, the same on every gateway
 */
public record StatementTerms(List<String> voters, LeaseTerms lease, Terms terms) {
  public StatementTerms {
    voters = List.copyOf(voters);
  }
}
