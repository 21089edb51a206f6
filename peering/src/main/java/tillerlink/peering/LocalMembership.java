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
    double factor = (double) probeInterval / usual.period();
    return new MembershipConfig(
        probeInterval,
        scaled(usual.answerWithin(), factor),
        scaled(usual.waitMost(), factor),
        usual.relays(),
        usual.suspicionFactor(),
        usual.suspicionSpread(),
        usual.confirmations(),
        scaled(usual.gossipEvery(), factor),
        usual.gossipTo(),
        usual.updateFactor(),
        scaled(usual.retryEvery(), factor),
        scaled(usual.digestEvery(), factor),
        usual.updateLife(),
        usual.forgetAfter(),
        usual.healthMost(),
        usual.mostMembers());
  }

  private static long scaled(long duration, double factor) {
    return Math.max(1, Math.round(duration * factor));
  }
}
