package tillerlink.members;

import java.util.List;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import tillerlink.cluster.Invariant;
import tillerlink.cluster.MessageSender;
import tillerlink.members.antientropy.AntiEntropy;
import tillerlink.members.config.MembershipConfig;
import tillerlink.members.config.MembershipListener;
import tillerlink.members.config.MembershipTransport;
import tillerlink.members.config.RateLimitedLog;
import tillerlink.members.gossip.GossipQueue;
import tillerlink.members.local.LocalMember;
import tillerlink.members.state.MemberRecord;
import tillerlink.members.state.MemberTable;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberMessage;
import tillerlink.messages.members.MemberStatus;
import tillerlink.messages.members.SuspicionLevel;

/**
 * What failure detection and message handling share: the members that are known, the gossip that is
 * queued, and the way messages are sent.
 */
final class MembershipState implements AntiEntropy.Known {
  /** What a message holds beside its gossip updates, in bytes, at most. */
  private static final int HEADER_BYTES = 150;

  /** A message of this length passes links that carry small messages only. */
  private static final int SMALL_MESSAGE_BYTES = 300;

  /** The room for gossip updates in a message that fits a single datagram. */
  static final int UPDATE_BYTES = MessageSender.SINGLE_DATAGRAM_BYTES - HEADER_BYTES;

  /** The room for gossip updates in a small message. */
  static final int SMALL_UPDATE_BYTES = SMALL_MESSAGE_BYTES - HEADER_BYTES;

  final String self;
  final MembershipConfig config;
  final MembershipListener listener;
  final RateLimitedLog log;
  final RandomGenerator random;
  final MemberTable table;
  final GossipQueue gossip;
  final LocalMember localMember;
  final AntiEntropy antiEntropy;
  private final MembershipTransport transport;
  private long now;
  private boolean left;
  private long sent;
  private long sentBytes;

  MembershipState(
      Identity identity,
      MembershipConfig config,
      MembershipTransport transport,
      MembershipListener listener,
      MemberTable.ChangeListener changeListener,
      RandomGenerator random,
      long birth,
      ComponentFactories factories) {
    self = identity.name();
    this.config = config;
    this.transport = transport;
    this.listener = listener;
    this.random = random;
    log = new RateLimitedLog(listener::log);
    table = factories.memberTable(self, config, changeListener);
    gossip = factories.gossipQueue(2 * config.maxMembers() + 1);
    localMember = factories.localMember(identity, birth);
    antiEntropy = new AntiEntropy(this);
  }

  long now() {
    return now;
  }

  void advanceTo(long time) {
    now = time;
  }

  /** Whether the local member has announced that it leaves. */
  boolean hasLeft() {
    return left;
  }

  void markLeft() {
    left = true;
  }

  boolean isActive(String name) {
    MemberRecord member = table.get(name);
    return member != null && member.status().takesPart();
  }

  // ---- what is known ----

  @Override
  public Iterable<String> names(int bucket) {
    if (MemberCodec.bucket(self) != bucket) {
      return table.bucket(bucket);
    }
    TreeSet<String> names = new TreeSet<>(table.bucket(bucket));
    names.add(self);
    return names;
  }

  @Override
  public GossipUpdate update(String name) {
    return update(name, "");
  }

  /** A member as it is gossiped now, the local one included; null if it is not known. */
  GossipUpdate update(String name, String accuser) {
    if (name.equals(self)) {
      MemberStatus status = left ? MemberStatus.LEFT : MemberStatus.ALIVE;
      return new GossipUpdate(self, status, localMember.card(), "", 0);
    }
    MemberRecord member = table.get(name);
    return member == null ? null : member.toGossipUpdate(accuser, now);
  }

  /**
   * What a member has to refute that shows that card.
   *
   * @return none if the member is held as it says itself
   */
  SuspicionLevel suspicionOf(String name, MemberInfo shown) {
    MemberRecord member = table.get(name);
    if (member == null) {
      return SuspicionLevel.NONE;
    }
    int order = shown.compare(member.card());
    if (order > 0) {
      return SuspicionLevel.NONE;
    }
    MemberInfo card = member.card();
    return order == 0
        ? member.suspicion()
        : new SuspicionLevel(member.status(), card.incarnation(), card.birth());
  }

  /** The local incarnation rose: it is gossiped first of all. */
  void onIncarnationRaised() {
    gossip.put(self, "");
    listener.onOwnIncarnationChanged(localMember.card().incarnation());
  }

  // ---- messages ----

  /** Takes gossip updates for a message that has that many bytes left. */
  List<GossipUpdate> takeUpdates(int maxBytes) {
    return gossip.take(maxBytes, config.maxTransmissions(table.size()), this::update);
  }

  void send(String address, MemberMessage message) {
    if (address.isEmpty()) {
      return;
    }
    byte[] body = MemberCodec.write(message);
    Invariant.holds(
        body.length <= MessageSender.MAX_MESSAGE_BYTES,
        () -> "message of " + body.length + " bytes exceeds " + MessageSender.MAX_MESSAGE_BYTES);
    sent++;
    sentBytes += body.length;
    transport.send(address, body);
  }

  void sendGossip(String address, SuspicionLevel suspicion, int maxUpdateBytes) {
    send(
        address,
        new MemberMessage.Gossip(localMember.card(), suspicion, takeUpdates(maxUpdateBytes)));
  }

  /** Begins an anti-entropy comparison with whoever has that address. */
  void sendDigest(String address) {
    long salt = random.nextLong();
    send(address, new MemberMessage.Digest(localMember.card(), salt, antiEntropy.sums(salt)));
  }

  long sent() {
    return sent;
  }

  long sentBytes() {
    return sentBytes;
  }
}
