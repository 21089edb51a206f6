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

/** Creates the component that manages prepared statements. */
public final class StatementsComponentFactory implements ComponentFactory {
  /**
   * The maximum number of bytes that the component uses on disk. This covers a snapshot, the log
   * entries after it, and a second copy of both while they are rewritten.
   */
  public static final long MAX_STORED_BYTES = 16L << 20;

  private static final Logger LOG = LoggerFactory.getLogger(StatementsComponentFactory.class);

  /**
   * The minimum time for which a lease must remain valid when a run starts, in tenths of a
   * millisecond.
   */
  private static final long MIN_LEASE_MARGIN = 50;

  /**
   * The divisor of the lease's length that gives a second lower bound for the same time. The larger
   * of the two bounds applies.
   */
  private static final int LEASE_MARGIN_DIVISOR = 50;

  private final StatementsConfig config;
  private final boolean fence;

  /**
   * Creates the factory.
   *
   * @param voters names of the gateways of which a majority grants leases
   * @param lease length of a lease in tenths of a millisecond
   * @param drift the maximum difference between the rates of two clocks, as a fraction
   * @param disksNeverRestored true if disks are never restored from a copy, so that a starting
   *     voter need not ask the other voters
   * @param fence true if the schema versions are sent to engines
   * @throws IllegalArgumentException if a value is invalid; the message is shown to the operator
   */
  public StatementsComponentFactory(
      List<String> voters, long lease, double drift, boolean disksNeverRestored, boolean fence) {
    long margin = Math.max(MIN_LEASE_MARGIN, lease / LEASE_MARGIN_DIVISOR);
    config =
        new StatementsConfig(
            voters,
            new LeaseConfig(lease, drift, margin),
            new RaftConfig(disksNeverRestored, Set.of()));
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
          "statements: cannot decode the persisted state: " + e.getMessage(), e);
    }
  }
}
