package tillerlink.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import tillerlink.channels.ChannelLogConfig;
import tillerlink.net.state.GatewayExtension;
import tillerlink.operator.ChannelsConfig;
import tillerlink.operator.MembersConfig;
import tillerlink.operator.OperatorFile;
import tillerlink.operator.StatementsConfig;
import tillerlink.peering.Peering;
import tillerlink.peering.PeeringConfig;
import tillerlink.peering.channels.HostedChannels;
import tillerlink.peering.component.ComponentFactory;
import tillerlink.peering.statements.StatementsComponentFactory;

/** Builds the extension of a gateway as configured in the operator's file. */
final class ExtensionBuilder {
  private static final long TICKS_PER_MS = 10;

  private ExtensionBuilder() {}

  /**
   * Returns the factory of the extension; null if the file has no block {@code members}.
   *
   * @throws IOException if the configuration of the extension cannot be used
   */
  static GatewayExtension.Factory of(OperatorFile file) throws IOException {
    MembersConfig members = file.members();
    if (members == null) {
      return null;
    }
    OperatorFile.StoreConfig store = file.store();
    long maxStoreBytes =
        (store == null ? 0 : store.maxBytes())
            + (file.channels() == null ? 0 : file.channels().maxDisk())
            + (file.statements() == null ? 0 : StatementsComponentFactory.MAX_STORED_BYTES);
    return Peering.factory(
        new PeeringConfig(
            members.fleet(),
            members.site(),
            members.listen(),
            members.seeds(),
            members.secret(),
            members.reach(),
            members.probeEvery(),
            store == null ? null : Path.of(store.folder()),
            maxStoreBytes),
        components(file));
  }

  /** Returns the components for state shared by gateways, in addition to membership. */
  private static List<ComponentFactory> components(OperatorFile file) {
    List<ComponentFactory> components = new ArrayList<>();
    ChannelsConfig channels = file.channels();
    if (channels != null) {
      components.add(
          new HostedChannels(
              ChannelLogConfig.of(
                  channels.voters(),
                  channels.absentAfter(),
                  channels.maxAhead() / TICKS_PER_MS,
                  Math.min(channels.maxMemory(), channels.maxDisk()),
                  channels.maxChannels())));
    }
    StatementsConfig statements = file.statements();
    if (statements != null) {
      components.add(
          new StatementsComponentFactory(
              statements.voters(),
              statements.lease(),
              statements.drift(),
              false,
              statements.fence()));
    }
    return components;
  }
}
