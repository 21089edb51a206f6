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

/** The receiver of replicated data from other gateways: events, decided cuts, compacted state. */
final class Replicator {
  private final ChannelLogConfig config;
  private final MembershipView membership;
  private final Journal journal;
  private final Store store;
  private final HybridLogicalClock clock;
  private final RateLimitedLog log;
  private long refusedAhead;
  private long malformed;
  private long ownRecovered;
  private long conflictingContents;

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

  /**
   * Adds the events of a piece to the journal and the store. An event whose stamp is too far ahead
   * of the fleet's time is refused for now, unless it is decided.
   *
   * @param now the monotonic time, in tenths of a millisecond
   * @param wall the time since 1970, in tenths of a millisecond
   * @param from the gateway that sent the piece
   * @param piece some events
   * @return the number of events that were added
   */
  int addEvents(long now, long wall, String from, Piece piece) {
    long sizeBefore = journal.held().size();
    piece.entries().forEach(entry -> addEvent(now, wall, from, entry));
    return (int) (journal.held().size() - sizeBefore);
  }

  private void addEvent(long now, long wall, String from, Entry entry) {
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
      log.log(now, "disk", "cannot store events of other gateways: the disk is full or has failed");
      return;
    }
    clock.observe(entry.stamp());
    if (entry.gateway().equals(membership.self())) {
      ownRecovered++;
      log.log(
          now,
          "own",
          "recovering events of this gateway's earlier processes from "
              + from
              + ": this gateway's disk was lost or replaced by an old copy");
    }
    journal.put(entry);
    journal.apply();
  }

  private void checkSameContent(long now, String from, Entry entry) {
    if (!journal.sameAsHeld(entry)) {
      conflictingContents++;
      log.log(
          now,
          "two",
          from + " has a different event named " + entry.dot().text() + "; it is ignored");
    }
  }

  private void refuseAhead(long now, Entry entry) {
    refusedAhead++;
    log.log(
        now,
        "ahead of " + entry.gateway(),
        "refused an event of "
            + entry.gateway()
            + " for now: its stamp is"
            + " further ahead of the fleet's time than the "
            + config.aheadMillis()
            + " ms allowed");
  }

  /** Returns whether an event is in a decided cut that is not applied yet. */
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

  /**
   * Adds a decided cut to the journal and the store if it is the next one, and applies the cuts
   * whose events are all held.
   */
  void learn(Cut cut) {
    if (journal.learn(cut)) {
      store.cut(cut);
      clock.observe(cut.upTo());
      journal.apply();
    }
  }

  /**
   * Replaces the logs with another gateway's compacted state if that covers later slots than the
   * ones applied here. Events that the state does not cover are retained.
   *
   * @param now the time in tenths of a millisecond
   * @param from the gateway that sent the state
   * @param bytes the encoded state
   */
  void installState(long now, String from, byte[] bytes) {
    try {
      CompactedState state = CompactedState.read(bytes);
      if (state.slot() <= journal.applied()) {
        return;
      }
      long previousBase = journal.base();
      List<Entry> covered = new ArrayList<>();
      journal.held().spans().forEach(span -> covered.addAll(journal.entries(span)));
      List<Entry> uncovered = journal.startFrom(state, CompactedState.read(bytes));
      covered.removeAll(uncovered);
      store.sum(bytes, state.slot(), previousBase, covered, previousBase + 1);
      uncovered.forEach(journal::put);
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

  /**
   * Returns how many times an event was refused because its stamp was too far ahead of the fleet's
   * time.
   */
  long refusedAhead() {
    return refusedAhead;
  }

  /** Returns the number of compacted states received that were malformed. */
  long malformed() {
    return malformed;
  }

  /**
   * Returns the number of events of this gateway's earlier processes that were recovered from other
   * gateways.
   */
  long ownRecovered() {
    return ownRecovered;
  }

  /** Returns how many events were received that differ from the one held under the same name. */
  long conflictingContents() {
    return conflictingContents;
  }
}
