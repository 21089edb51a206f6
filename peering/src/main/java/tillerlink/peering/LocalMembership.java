package tillerlink.peering;

import java.nio.ByteBuffer;
import java.util.SplittableRandom;
import tillerlink.cluster.KeyValueStore;
import tillerlink.members.Identity;
import tillerlink.members.Members;
import tillerlink.members.config.MembershipConfig;
import tillerlink.members.config.MembershipTransport;
import tillerlink.peering.members.MembersHttpHandler;
import tillerlink.peering.storage.PrefixedKeyValueStore;

/** Creates this gateway's membership and persists its incarnation across restarts. */
final class LocalMembership {
  private static final String INCARNATION_KEY = "incarnation";

  private LocalMembership() {}

  /**
   * Creates the membership with the persisted incarnation.
   *
   * @param store the gateway's store, without a component's key prefix
   * @param loop the source of the current time
   */
  static Members create(
      PeeringConfig config,
      String name,
      KeyValueStore store,
      MembershipTransport transport,
      SplittableRandom random,
      MembershipLogger logger,
      ComponentLoop loop) {
    KeyValueStore membersStore = new PrefixedKeyValueStore(store, MembersHttpHandler.NAME);
    Identity identity =
        new Identity(
            config.fleet(),
            name,
            config.site(),
            config.listen(),
            config.seeds(),
            persistedIncarnation(membersStore));
    return new Members(
        identity,
        scaledTo(config.probeInterval()),
        transport,
        random,
        logger.listener(loop::now, incarnation -> persistIncarnation(membersStore, incarnation)),
        ComponentLoop.wallTime());
  }

  /**
   * Returns the persisted incarnation of the previous process with this name, or 0 if there is no
   * valid value.
   */
  private static long persistedIncarnation(KeyValueStore membersStore) {
    byte[] value = membersStore.initialEntries().get(INCARNATION_KEY);
    return value == null || value.length != Long.BYTES ? 0 : ByteBuffer.wrap(value).getLong();
  }

  private static void persistIncarnation(KeyValueStore membersStore, long incarnation) {
    membersStore.set(
        INCARNATION_KEY, ByteBuffer.allocate(Long.BYTES).putLong(incarnation).array(), null);
  }

  /**
   * Returns the default configuration with the given probe interval. Time-outs and intervals that
   * depend on the probe interval are scaled in proportion.
   *
   * @param probeInterval tenths of a millisecond
   */
  private static MembershipConfig scaledTo(long probeInterval) {
    MembershipConfig usual = MembershipConfig.usual();
    double factor = (double) probeInterval / usual.probeInterval();
    return new MembershipConfig(
        probeInterval,
        scaled(usual.probeTimeout(), factor),
        scaled(usual.maxProbeTimeout(), factor),
        usual.indirectProbes(),
        usual.suspicionMultiplier(),
        usual.maxSuspicionMultiplier(),
        usual.confirmations(),
        scaled(usual.gossipInterval(), factor),
        usual.gossipFanout(),
        usual.retransmitMultiplier(),
        scaled(usual.reconnectInterval(), factor),
        scaled(usual.antiEntropyInterval(), factor),
        usual.maxUpdateAge(),
        usual.forgetAfter(),
        usual.maxLocalHealthScore(),
        usual.maxMembers());
  }

  private static long scaled(long duration, double factor) {
    return Math.max(1, Math.round(duration * factor));
  }
}
