package tillerlink.peering.statements;

import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.messages.MalformedMessageException;
import tillerlink.peering.component.ComponentContext;
import tillerlink.peering.component.ComponentFactory;
import tillerlink.peering.component.HostedComponent;
import tillerlink.statements.Statements;
import tillerlink.statements.StatementsConfig;
import tillerlink.statements.consensus.RaftConfig;
import tillerlink.statements.lease.LeaseConfig;
import tillerlink.statements.prepare.Renaming;

/** Makes the component of prepared statements. */
public final class StatementsComponentFactory implements ComponentFactory {
  /**
   * Bytes that it takes on disk at most: a snapshot, the entries behind it, and both once more
   * while they are rewritten.
   */
  public static final long MAX_STORED_BYTES = 16L << 20;

  private static final Logger LOG = LoggerFactory.getLogger(StatementsComponentFactory.class);

  /** The least time that a lease must be valid beyond a run's start, in tenths of a millisecond. */
  private static final long MIN_LEASE_MARGIN = 50;

  /** The same as a part of the lease's length. */
  private static final int LEASE_MARGIN_DIVISOR = 50;

  private final StatementsConfig config;
  private final boolean fence;

  /**
   * @param voters names of the gateways of which a majority grants leases
   * @param lease length of a lease in tenths of a millisecond
   * @param drift the fraction by which clocks may run apart
   * @param vouched disks are never restored from a copy, so a voter that starts need not ask the
   *     others
   * @param fence engines are sent the schema versions
   * @throws IllegalArgumentException in words for the operator
   */
  public StatementsComponentFactory(
      List<String> voters, long lease, double drift, boolean vouched, boolean fence) {
    long margin = Math.max(MIN_LEASE_MARGIN, lease / LEASE_MARGIN_DIVISOR);
    config =
        new StatementsConfig(
            voters, new LeaseConfig(lease, drift, margin), new RaftConfig(vouched, Set.of()));
    this.fence = fence;
  }

  @Override
  public int number() {
    return StatementsHttpHandler.NUMBER;
  }

  @Override
  public String name() {
    return StatementsHttpHandler.NAME;
  }

  @Override
  public HostedComponent create(ComponentContext context) {
    try {
      Statements statements =
          new Statements(
              config,
              context.membership(),
              context.sender(),
              context.store(),
              context.random(),
              new Renaming(),
              line -> LOG.warn("statements: {}", line));
      return new StatementsHttpHandler(statements, context.gateway(), context.clock(), fence);
    } catch (MalformedMessageException e) {
      throw new IllegalArgumentException(
          "statements: the persisted state can't be read: " + e.getMessage(), e);
    }
  }
}
