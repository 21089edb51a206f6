package tillerlink.members;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import tillerlink.cluster.Invariant;
import tillerlink.cluster.Post;
import tillerlink.members.config.Lines;
import tillerlink.members.config.Periods;
import tillerlink.members.config.Watcher;
import tillerlink.members.config.Wire;
import tillerlink.members.gossip.Rumours;
import tillerlink.members.local.Own;
import tillerlink.members.state.Entry;
import tillerlink.members.state.Table;
import tillerlink.messages.members.Card;
import tillerlink.messages.members.Doubt;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.MemberMessage;
import tillerlink.messages.members.Rumour;
import tillerlink.messages.members.Standing;

/** What asking and hearing share: who is known, what is news, how it is said. */
final class Core {
  /** A message with news is no longer, so that it goes in one datagram. */
  static final int BYTES_MOST = Post.BYTES_EASY;

  /** Every so often news go in small messages, for links that carry no others. */
  static final int BYTES_SMALL = 300;

  final String self;
  final Periods periods;
  final Watcher watcher;
  final Lines lines;
  final RandomGenerator random;
  final Table table;
  final Rumours rumours;
  final Own own;
  private final Wire wire;
  long now;
  boolean left;

  /** What is said before this process says nothing more; null as long as it takes part. */
  private List<Card> lastCards;

  private long lastAt;
  long sent;
  long sentBytes;

  Core(
      Identity identity,
      Periods periods,
      Wire wire,
      Watcher watcher,
      Table.Changes changes,
      RandomGenerator random,
      long birth,
      Makers makers) {
    self = identity.name();
    this.periods = periods;
    this.wire = wire;
    this.watcher = watcher;
    this.random = random;
    lines = new Lines(watcher::line);
    table = makers.table(self, periods, changes);
    rumours = makers.rumours(2 * periods.mostMembers() + 1);
    own = makers.own(identity, birth);
  }

  /** What is told of a name now; null if it is not known. */
  Rumour rumour(String name, String by) {
    if (name.equals(self)) {
      return new Rumour(self, left ? Standing.LEFT : Standing.ALIVE, own.card(), "", 0);
    }
    Entry entry = table.get(name);
    return entry == null ? null : entry.rumour(by, now);
  }

  /** News for a message that has that much room for them. */
  List<Rumour> news(int room) {
    return rumours.take(room, periods.sendsMost(table.size()), this::rumour);
  }

  void send(String address, MemberMessage message) {
    if (address.isEmpty()) {
      return;
    }
    byte[] body = MemberCodec.write(message);
    Invariant.holds(body.length <= Post.BYTES_MOST, () -> "a message of " + body.length + " bytes");
    sent++;
    sentBytes += body.length;
    wire.send(address, body);
  }

  void gossip(String address, Doubt doubt, int room) {
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
  Doubt doubt(String name, Card shown) {
    Entry entry = table.get(name);
    if (entry == null) {
      return Doubt.NONE;
    }
    int order = shown.compare(entry.card());
    if (order > 0) {
      return Doubt.NONE;
    }
    return order == 0
        ? entry.doubt()
        : new Doubt(entry.standing(), entry.card().incarnation(), entry.card().birth());
  }

  /** Another process keeps the own name: the last that is said here is where that one is. */
  void yieldTo(Card other) {
    lastCards = List.of(other);
    lastAt = now;
    watcher.yielded();
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
    List<Rumour> words = new ArrayList<>();
    words.add(new Rumour(self, Standing.LEFT, own.card(), "", now - lastAt));
    lastCards.forEach(card -> words.add(new Rumour(self, Standing.ALIVE, card, "", now - lastAt)));
    send(address, new MemberMessage.Gossip(own.card(), Doubt.NONE, words));
  }

  /** The own incarnation rose: the first thing to be told. */
  void raised() {
    rumours.put(self, "");
    watcher.incarnation(own.card().incarnation());
  }
}
