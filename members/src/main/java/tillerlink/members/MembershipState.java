package tillerlink.members;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import tillerlink.cluster.Invariant;
import tillerlink.cluster.MessageSender;
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

/** What asking and hearing share: who is known, what is news, how it is said. */
final class MembershipState {
  /** A message with news is no longer, so that it goes in one datagram. */
  static final int BYTES_MOST = MessageSender.SINGLE_DATAGRAM_BYTES;

  /** Every so often news go in small messages, for links that carry no others. */
  static final int BYTES_SMALL = 300;

  final String self;
  final MembershipConfig periods;
  final MembershipListener watcher;
  final RateLimitedLog lines;
  final RandomGenerator random;
  final MemberTable table;
  final GossipQueue updates;
  final LocalMember own;
  private final MembershipTransport wire;
  long now;
  boolean left;

  /** What is said before this process says nothing more; null as long as it takes part. */
  private List<MemberInfo> lastCards;

  private long lastAt;
  long sent;
  long sentBytes;

  MembershipState(
      Identity identity,
      MembershipConfig periods,
      MembershipTransport wire,
      MembershipListener watcher,
      MemberTable.Changes changes,
      RandomGenerator random,
      long birth,
      ComponentFactories makers) {
    self = identity.name();
    this.periods = periods;
    this.wire = wire;
    this.watcher = watcher;
    this.random = random;
    lines = new RateLimitedLog(watcher::log);
    table = makers.table(self, periods, changes);
    updates = makers.updates(2 * periods.maxMembers() + 1);
    own = makers.own(identity, birth);
  }

  /** What is told of a name now; null if it is not known. */
  GossipUpdate update(String name, String by) {
    if (name.equals(self)) {
      return new GossipUpdate(
          self, left ? MemberStatus.LEFT : MemberStatus.ALIVE, own.card(), "", 0);
    }
    MemberRecord entry = table.get(name);
    return entry == null ? null : entry.update(by, now);
  }

  /** News for a message that has that much room for them. */
  List<GossipUpdate> news(int room) {
    return updates.take(room, periods.maxTransmissions(table.size()), this::update);
  }

  void send(String address, MemberMessage message) {
    if (address.isEmpty()) {
      return;
    }
    byte[] body = MemberCodec.write(message);
    Invariant.holds(
        body.length <= MessageSender.MAX_MESSAGE_BYTES,
        () -> "a message of " + body.length + " bytes");
    sent++;
    sentBytes += body.length;
    wire.send(address, body);
  }

  void gossip(String address, SuspicionLevel doubt, int room) {
    send(address, new MemberMessage.Gossip(own.card(), doubt, news(room)));
  }

  /**
   * The room for news in a message of that many bytes, which has the own card and the like in it
   * already.
   */
  static int room(int bytes) {
    return bytes - 150;
  }

  /** How a member is held that shows that card, if otherwise than it says. */
  SuspicionLevel doubt(String name, MemberInfo shown) {
    MemberRecord entry = table.get(name);
    if (entry == null) {
      return SuspicionLevel.NONE;
    }
    int order = shown.compare(entry.card());
    if (order > 0) {
      return SuspicionLevel.NONE;
    }
    return order == 0
        ? entry.suspicion()
        : new SuspicionLevel(entry.status(), entry.card().incarnation(), entry.card().birth());
  }

  /** Another process keeps the own name: the last that is said here is where that one is. */
  void yieldTo(MemberInfo other) {
    lastCards = List.of(other);
    lastAt = now;
    watcher.onNameLost();
  }

  /** This process leaves. */
  void leave() {
    left = true;
    lastCards = List.of();
    lastAt = now;
  }

  /** Whether this process takes part no more. */
  boolean isOut() {
    return lastCards != null;
  }

  /** That this process is away, and which other has its name now. */
  void sayLast(String address) {
    List<GossipUpdate> words = new ArrayList<>();
    words.add(new GossipUpdate(self, MemberStatus.LEFT, own.card(), "", now - lastAt));
    lastCards.forEach(
        card -> words.add(new GossipUpdate(self, MemberStatus.ALIVE, card, "", now - lastAt)));
    send(address, new MemberMessage.Gossip(own.card(), SuspicionLevel.NONE, words));
  }

  /** The own incarnation rose: the first thing to be told. */
  void raised() {
    updates.put(self, "");
    watcher.onOwnIncarnationChanged(own.card().incarnation());
  }
}
