package tillerlink.channels;

import java.util.ArrayList;
import java.util.List;
import tillerlink.channels.entry.HybridLogicalClock;
import tillerlink.channels.journal.CompactedState;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.recovery.Store;
import tillerlink.cluster.MembershipView;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.channels.ChannelsMessage.Piece;
import tillerlink.messages.channels.Cut;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.Span;

/** Takes in what other gateways replicate: events, decided cuts and compacted state. */
final class Replicator {
  private final ChannelLogConfig config;
  private final MembershipView membership;
  private final Journal journal;
  private final Store store;
  private final HybridLogicalClock clock;
  private final RateLimitedLog log;
  private long refusedAhead;
  private long malformed;
  private long ownTakenBack;
  private long twoContents;

  Replicator(
      ChannelLogConfig config,
      MembershipView membership,
      Journal journal,
      Store store,
      HybridLogicalClock clock,
      RateLimitedLog log) {
    this.config = config;
    this.membership = membership;
    this.journal = journal;
    this.store = store;
    this.clock = clock;
    this.log = log;
  }

  // ---- events ----

  /** Takes the events of a piece, and returns how many of them are new. */
  int take(long now, long wall, String from, Piece piece) {
    long before = journal.held().size();
    piece.entries().forEach(entry -> take(now, wall, from, entry));
    return (int) (journal.held().size() - before);
  }

  private void take(long now, long wall, String from, Entry entry) {
    if (journal.held().has(entry.incarnation(), entry.sequence())) {
      checkSameContent(now, from, entry);
      journal.put(entry);
      return;
    }
    if (clock.isTooFarAhead(now, wall, entry.stamp()) && !isDecided(entry)) {
      refuseAhead(now, entry);
      return;
    }
    if (!store.entry(entry, null)) {
      log.log(now, "disk", "events of others can't be kept: the disk is full or has failed");
      return;
    }
    clock.observe(entry.stamp());
    if (entry.gateway().equals(membership.self())) {
      ownTakenBack++;
      log.log(
          now,
          "own",
          "events of this gateway's own past are taken back from "
              + from
              + ": its disk is lost or an old copy");
    }
    journal.put(entry);
    journal.apply();
  }

  private void checkSameContent(long now, String from, Entry entry) {
    if (!journal.sameAsHeld(entry)) {
      twoContents++;
      log.log(
          now,
          "two",
          from + " has another event under the name " + entry.dot().text() + "; it is not taken");
    }
  }

  private void refuseAhead(long now, Entry entry) {
    refusedAhead++;
    log.log(
        now,
        "ahead of " + entry.gateway(),
        "an event of "
            + entry.gateway()
            + " is not taken yet: its stamp is"
            + " further ahead of the time than the "
            + config.aheadMillis()
            + " ms allowed");
  }

  /** Whether an event is in a decided cut that is not applied yet. */
  private boolean isDecided(Entry entry) {
    for (Cut cut : journal.cuts().tailMap(journal.applied(), false).values()) {
      for (Span span : cut.spans()) {
        if (span.incarnation() == entry.incarnation()
            && span.from() <= entry.sequence()
            && span.to() >= entry.sequence()) {
          return true;
        }
      }
    }
    return false;
  }

  // ---- decided cuts and compacted state ----

  /** Takes a decided cut if it is the next one, and applies what can be applied. */
  void learn(Cut cut) {
    if (journal.learn(cut)) {
      store.cut(cut);
      clock.observe(cut.upTo());
      journal.apply();
    }
  }

  /** Replaces the log by another gateway's compacted state, if that is further than this log. */
  void install(long now, String from, byte[] bytes) {
    try {
      CompactedState state = CompactedState.read(bytes);
      if (state.slot() <= journal.applied()) {
        return;
      }
      long before = journal.base();
      List<Entry> covered = new ArrayList<>();
      journal.held().spans().forEach(span -> covered.addAll(journal.entries(span)));
      List<Entry> rest = journal.startFrom(state, CompactedState.read(bytes));
      covered.removeAll(rest);
      store.sum(bytes, state.slot(), before, covered, before + 1);
      rest.forEach(journal::put);
      journal.apply();
      clock.observe(journal.upTo());
      log.log(
          now,
          "sum",
          "this gateway was far behind and starts from the compacted state of "
              + from
              + " at slot "
              + state.slot());
    } catch (MalformedMessageException e) {
      malformed++;
    }
  }

  // ---- counters ----

  /** Events that were refused because their stamps were too far ahead of the time. */
  long refusedAhead() {
    return refusedAhead;
  }

  /** Compacted states that could not be read. */
  long malformed() {
    return malformed;
  }

  /** Events of this gateway's earlier processes that came back from others. */
  long ownTakenBack() {
    return ownTakenBack;
  }

  /** Events that differ from the one held under the same name. */
  long twoContents() {
    return twoContents;
  }
}
