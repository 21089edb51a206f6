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

/** Creates this gateway's membership, and persists its incarnation over restarts. */
final class LocalMembership {
  private static final String INCARNATION_KEY = "incarnation";

  private LocalMembership() {}

  /**
   * @param store the gateway's whole store
   * @param loop tells the time
   */
  static Members create(
      PeeringConfig config,
      String name,
      KeyValueStore store,
      MembershipTransport transport,
      SplittableRandom random,
      MembershipLogger logger,
      ComponentLoop loop) {
    KeyValueStore own = new PrefixedKeyValueStore(store, MembersHttpHandler.NAME);
    Identity identity =
        new Identity(
            config.fleet(),
            name,
            config.site(),
            config.listen(),
            config.seeds(),
            persistedIncarnation(own));
    return new Members(
        identity,
        scaledTo(config.probeInterval()),
        transport,
        random,
        logger.listener(loop::now, incarnation -> persistIncarnation(own, incarnation)),
        ComponentLoop.wallTime());
  }

  /** The incarnation of the last process of this name; 0 if there was none. */
  private static long persistedIncarnation(KeyValueStore own) {
    byte[] value = own.initialEntries().get(INCARNATION_KEY);
    return value == null || value.length != Long.BYTES ? 0 : ByteBuffer.wrap(value).getLong();
  }

  private static void persistIncarnation(KeyValueStore own, long incarnation) {
    own.set(INCARNATION_KEY, ByteBuffer.allocate(Long.BYTES).putLong(incarnation).array(), null);
  }

  /** The usual configuration, with the times that follow from the probe interval scaled to it. */
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
