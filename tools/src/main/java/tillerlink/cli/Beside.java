package tillerlink.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import tillerlink.channels.Terms;
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

/** What stands beside the module of a gateway, as the operator's file names it. */
final class Beside {
  private static final long TENTHS_PER_MS = 10;

  private Beside() {}

  /** Null where the file names no members. */
  static GatewayExtension.Factory of(OperatorFile file) throws IOException {
    MembersConfig members = file.members();
    if (members == null) {
      return null;
    }
    OperatorFile.StoreConfig store = file.store();
    long keepMost =
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
            keepMost),
        parts(file));
  }

  /** The parts that gateways share, beside who is there. */
  private static List<ComponentFactory> parts(OperatorFile file) {
    List<ComponentFactory> parts = new ArrayList<>();
    ChannelsConfig channels = file.channels();
    if (channels != null) {
      parts.add(
          new HostedChannels(
              Terms.of(
                  channels.voters(),
                  channels.absentAfter(),
                  channels.maxAhead() / TENTHS_PER_MS,
                  Math.min(channels.maxMemory(), channels.maxDisk()),
                  channels.maxChannels())));
    }
    StatementsConfig statements = file.statements();
    if (statements != null) {
      parts.add(
          new StatementsComponentFactory(
              statements.voters(),
              statements.lease(),
              statements.drift(),
              false,
              statements.fence()));
    }
    return parts;
  }
}
