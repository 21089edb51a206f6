package tillerlink.channels;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.channels.entry.AppendResult;
import tillerlink.channels.entry.HybridLogicalClock;
import tillerlink.channels.journal.ChannelLog;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.quota.StorageQuota;
import tillerlink.channels.recovery.Store;
import tillerlink.channels.sync.ChannelTransport;
import tillerlink.cluster.Invariant;
import tillerlink.cluster.MembershipView;
import tillerlink.messages.channels.ChannelsMessage.Piece;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Entry;

/** Writes this gateway's own events: what clients append, each answered once it is kept. */
final class Writer {
  private static final int NAME_MOST = 64;
  private static final int PENDING_MOST = 1024;

  private record Asker(AppendRequest draft, Consumer<AppendResult> answer) {}

  private final Terms terms;
  private final MembershipView membership;
  private final Journal journal;
  private final Store store;
  private final HybridLogicalClock stamps;
  private final ChannelTransport wire;
  private final StorageQuota room;
  private final BiConsumer<String, String> say;
  private final long incarnation;
  private final TreeMap<Long, Entry> pending = new TreeMap<>();
  private final TreeMap<String, List<Asker>> pendingKeys = new TreeMap<>();
  private long pendingBytes;
  private long sequence;
  private long top;
  private long refusedAhead;
  private Dot[] lastSeen = new Dot[0];

  /**
   * @param say a line for the log, under its kind
   */
  Writer(
      Terms terms,
      Journal journal,
      Store store,
      HybridLogicalClock stamps,
      ChannelTransport wire,
      long incarnation,
      BiConsumer<String, String> say) {
    this.terms = terms;
    membership = wire.membership();
    this.journal = journal;
    this.store = store;
    this.stamps = stamps;
    this.wire = wire;
    this.incarnation = incarnation;
    this.say = say;
    room = new StorageQuota(terms.bytes());
  }

  /** The last number of its own that is kept. */
  long top() {
    return top;
  }

  /** No own event that is not kept yet, nor a later one, has this stamp or a lower one. */
  long floor(long floor) {
    return pending.isEmpty() ? floor : Math.min(floor, pending.firstEntry().getValue().stamp() - 1);
  }

  long refusedAhead() {
    return refusedAhead;
  }

  StorageQuota room() {
    return room;
  }

  void append(
      long now, long wall, String channel, AppendRequest draft, Consumer<AppendResult> answer) {
    String fault =
        channel.isEmpty() || channel.length() > NAME_MOST
            ? "a channel's name has 1 to 64 characters"
            : draft.fault().orElse(null);
    if (fault == null
        && !journal.logs().containsKey(channel)
        && journal.logs().size() >= terms.most()) {
      fault = "there are " + terms.most() + " channels already, and no more are allowed";
    }
    if (fault != null) {
      answer.accept(new AppendResult.Refused(fault, 0));
      return;
    }
    if (!draft.key().isEmpty() && isAgain(channel, draft, answer)) {
      return;
    }
    for (Dot dot : draft.seen() == null ? List.<Dot>of() : draft.seen()) {
      if (stamps.isTooFarAhead(now, wall, dot.stamp())) {
        answer.accept(
            new AppendResult.Refused(
                "what it names as seen is stamped too far ahead of the time", 0));
        return;
      }
      stamps.saw(dot.stamp());
    }
    long tooFarBy = stamps.tooFarBy(now, wall);
    if (tooFarBy > 0) {
      refusedAhead++;
      say.accept(
          "ahead",
          "an append was refused: its stamp would be "
              + tooFarBy
              + " ms further ahead of the"
              + " fleet's time than the "
              + terms.aheadMillis()
              + " ms allowed; set this machine's clock right");
      answer.accept(
          new AppendResult.Refused(
              "this gateway's clock is too far ahead of the fleet's", tooFarBy * 10));
      return;
    }
    write(wall, channel, draft, answer);
  }

  private boolean isAgain(String channel, AppendRequest draft, Consumer<AppendResult> answer) {
    List<Asker> waiting = pendingKeys.get(channel + "/" + draft.key());
    if (waiting != null) {
      if (waiting.size() >= PENDING_MOST) {
        answer.accept(
            new AppendResult.Refused("too many ask with this key", StorageQuota.COME_BACK));
      } else if (!same(waiting.get(0).draft, draft)) {
        answer.accept(otherContent());
      } else {
        waiting.add(new Asker(draft, answer));
      }
      return true;
    }
    ChannelLog of = journal.logs().get(channel);
    Dot dot = of == null ? null : of.key(draft.key());
    if (dot == null) {
      return false;
    }
    Entry entry = journal.entry(dot.incarnation(), dot.sequence());
    answer.accept(
        entry == null
                || entry.kind() == draft.kind()
                    && entry.cue().equals(draft.cue())
                    && entry.text().equals(draft.text())
            ? new AppendResult.Taken(dot, true)
            : otherContent());
    return true;
  }

  private static boolean same(AppendRequest one, AppendRequest other) {
    return one.kind() == other.kind()
        && one.cue().equals(other.cue())
        && one.text().equals(other.text());
  }

  private static AppendResult otherContent() {
    return new AppendResult.Refused("this key stands for an event that says otherwise", 0);
  }

  private void write(
      long wall, String channel, AppendRequest draft, Consumer<AppendResult> answer) {
    Entry entry =
        new Entry(
            membership.self(),
            membership.site(membership.self()),
            incarnation,
            sequence + 1,
            stamps.next(wall),
            channel,
            draft.kind(),
            draft.cue(),
            draft.text(),
            draft.airsAt(),
            draft.key(),
            over(channel, draft),
            seen());
    if (pending.size() >= PENDING_MOST
        || !room.takes(
            journal, channel, entry.weight(), membership.names().size() + 1, pendingBytes)) {
      say.accept(
          "full",
          "channel " + channel + " is full of events that are not agreed on: appends are refused");
      answer.accept(new AppendResult.Refused("the channel is full", StorageQuota.COME_BACK));
      return;
    }
    Invariant.holds(
        !journal.held().has(incarnation, entry.sequence()),
        () -> "an own number is used a second time");
    if (!store.entry(entry, () -> kept(entry, answer))) {
      say.accept("disk", "an append could not be kept: the disk is full or has failed");
      answer.accept(
          new AppendResult.Refused(
              "it can't be kept here: the disk is full or has failed", StorageQuota.COME_BACK));
      return;
    }
    sequence++;
    pending.put(entry.sequence(), entry);
    pendingBytes += entry.weight();
    if (!draft.key().isEmpty()) {
      pendingKeys.put(
          channel + "/" + draft.key(), new ArrayList<>(List.of(new Asker(draft, answer))));
    }
  }

  private List<Dot> over(String channel, AppendRequest draft) {
    if (draft.seen() != null) {
      return List.copyOf(draft.seen());
    }
    ChannelLog of = journal.logs().get(channel);
    return of == null || draft.cue().isEmpty()
        ? List.of()
        : of.cue(draft.cue(), journal.upTo()).standing().stream()
            .limit(AppendRequest.SEEN_MOST)
            .toList();
  }

  /**
   * What is held of those that wrote of late, as far as it is more than when this gateway wrote
   * last.
   */
  private List<Dot> seen() {
    List<Dot> seen = new ArrayList<>();
    for (long other : journal.extra().incarnations()) {
      long prefix = journal.held().prefix(other);
      if (other != incarnation
          && prefix > 0
          && seen.size() < AppendRequest.SEEN_MOST
          && isNews(other, prefix)) {
        Entry last = journal.entry(other, prefix);
        seen.add(new Dot(other, prefix, last == null ? 0 : last.stamp()));
      }
    }
    lastSeen = seen.isEmpty() ? lastSeen : seen.toArray(new Dot[0]);
    return seen;
  }

  private boolean isNews(long other, long prefix) {
    for (Dot dot : lastSeen) {
      if (dot.incarnation() == other && dot.sequence() == prefix) {
        return false;
      }
    }
    return true;
  }

  private void kept(Entry entry, Consumer<AppendResult> answer) {
    pending.remove(entry.sequence());
    pendingBytes -= entry.weight();
    top = entry.sequence();
    journal.put(entry);
    wire.spread(new Piece(0, true, List.of(entry)), journal.voters());
    AppendResult taken = new AppendResult.Taken(entry.dot(), false);
    List<Asker> askers =
        entry.key().isEmpty() ? null : pendingKeys.remove(entry.channel() + "/" + entry.key());
    if (askers == null) {
      answer.accept(taken);
    } else {
      for (int i = 0; i < askers.size(); i++) {
        askers.get(i).answer.accept(i == 0 ? taken : new AppendResult.Taken(entry.dot(), true));
      }
    }
  }
}
