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

/** Makes the part of prepared statements on a gateway. */
public final class StatementsComponentFactory implements ComponentFactory {
  private static final Logger LOG = LoggerFactory.getLogger(StatementsComponentFactory.class);

  /**
   * Bytes on the disk at the most: a snapshot, the entries behind it, and both once more while they
   * are rewritten.
   */
  public static final long KEEP_MOST = 16L << 20;

  private static final long MARGIN_LEAST = 50;

  /** A part of the lease that has to be ahead of a run. */
  private static final int MARGIN_PART = 50;

  private final StatementsConfig config;
  private final boolean fence;

  /**
   * @param voters names of the gateways of which a majority grants leases
   * @param lease tenths of a millisecond
   * @param drift the share by which clocks may run apart
   * @param vouched disks are never put back from a copy, so a voter that starts need not ask the
   *     others
   * @param fence engines are told the schema versions
   * @throws IllegalArgumentException in words for the operator
   */
  public StatementsComponentFactory(
      List<String> voters, long lease, double drift, boolean vouched, boolean fence) {
    config =
        new StatementsConfig(
            voters,
            new LeaseConfig(lease, drift, Math.max(MARGIN_LEAST, lease / MARGIN_PART)),
            new RaftConfig(vouched, Set.of()));
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
  public HostedComponent attach(ComponentContext ground) {
    try {
      Statements statements =
          new Statements(
              config,
              ground.roster(),
              ground.post(),
              ground.keep(),
              ground.random(),
              new Renaming(),
              words -> LOG.warn("statements: {}", words));
      return new StatementsHttpHandler(statements, ground.door(), ground.clock(), fence);
    } catch (MalformedMessageException e) {
      throw new IllegalArgumentException(
          "statements: what is kept can't be read: " + e.getMessage(), e);
    }
  }
}
