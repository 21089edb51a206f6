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
 * State shared by failure detection and message handling: the member table, the gossip queue, the
 * local member, and the transport.
 */
final class MembershipState implements AntiEntropy.KnownMembers {
  /** Maximum length of a message without its gossip updates, in bytes. */
  private static final int HEADER_BYTES = 150;

  /** Maximum length, in bytes, of a message that passes links that carry only small messages. */
  private static final int SMALL_MESSAGE_BYTES = 300;

  /** Capacity for gossip updates, in bytes, in a message that fits a single datagram. */
  static final int UPDATE_BYTES = MessageSender.SINGLE_DATAGRAM_BYTES - HEADER_BYTES;

  /** Capacity for gossip updates, in bytes, in a small message. */
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

  /** Returns whether the local member has announced that it leaves. */
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

  // ---- known members ----

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

  /**
   * Returns the current gossip update of a member.
   *
   * @param name the name of any member, the local one included
   * @param accuser the member that suspects it or declared it failed; empty if there is none
   * @return the update; null if the member is unknown
   */
  GossipUpdate update(String name, String accuser) {
    if (name.equals(self)) {
      MemberStatus status = left ? MemberStatus.LEFT : MemberStatus.ALIVE;
      return new GossipUpdate(self, status, localMember.card(), "", 0);
    }
    MemberRecord member = table.get(name);
    return member == null ? null : member.toGossipUpdate(accuser, now);
  }

  /**
   * Returns the suspicion that a member has to refute.
   *
   * @param name the name of the member
   * @param presentedCard the card that the member sent with its last message
   * @return the suspicion; {@link SuspicionLevel#NONE} if the member is unknown, is considered
   *     alive, or has a newer card than the table
   */
  SuspicionLevel suspicionOf(String name, MemberInfo presentedCard) {
    MemberRecord member = table.get(name);
    if (member == null) {
      return SuspicionLevel.NONE;
    }
    int order = presentedCard.compare(member.card());
    if (order > 0) {
      return SuspicionLevel.NONE;
    }
    MemberInfo card = member.card();
    return order == 0
        ? member.suspicion()
        : new SuspicionLevel(member.status(), card.incarnation(), card.birth());
  }

  /**
   * Queues the raised local incarnation for gossip, ahead of all other updates, and notifies the
   * listener of it.
   */
  void onIncarnationRaised() {
    gossip.put(self, "");
    listener.onOwnIncarnationChanged(localMember.card().incarnation());
  }

  // ---- messages ----

  /** Returns the next gossip updates to send, at most {@code maxBytes} long in total. */
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

  /** Starts an anti-entropy comparison with the member at an address. */
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
