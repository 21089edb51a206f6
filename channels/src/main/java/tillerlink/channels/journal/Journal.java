package tillerlink.channels.journal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SortedSet;
import java.util.TreeMap;
import tillerlink.channels.cue.CueProjection;
import tillerlink.cluster.Invariant;
import tillerlink.messages.channels.Cut;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.EntryCodec;
import tillerlink.messages.channels.Span;

/**
 * The events known to this gateway and their order. Stable events are ordered by decided cut and,
 * within a cut, by stamp; provisional events follow in the order of their stamps. The logs depend
 * on the set of events and the cuts alone. The journal does no I/O, and only the gateway's event
 * loop uses it.
 *
 * <p>An event is known if this gateway has it in memory or has compacted it.
 */
public final class Journal {
  /**
   * The bound on the decided cuts that are not compacted. Beyond it further cuts are not accepted
   * until earlier ones are compacted.
   */
  private static final int MAX_CUTS = 100_000;

  private static final long DIGEST_FACTOR = 31;
  private static final long DIGEST_INCARNATION_FACTOR = 7;

  /**
   * The state at the end of the compacted slots.
   *
   * @param slot the last compacted slot
   * @param upTo the upper bound of its cut, a stamp of the hybrid logical clock
   * @param digest the digest of all stable events up to it
   * @param voters the gateways that decide on the next slot
   */
  private record Base(long slot, long upTo, long digest, List<String> voters) {}

  private final EventStore events = new EventStore();
  private final TreeMap<String, ChannelLog> logs = new TreeMap<>();
  private final TreeMap<Long, Cut> cuts = new TreeMap<>();
  private final TreeMap<Long, Long> digests = new TreeMap<>();
  private EventSet compacted = new EventSet();
  private Base base;
  private long applied;
  private long decided;
  private long upTo;
  private long digest;
  private List<String> voters;

  /**
   * Creates an empty journal.
   *
   * @param founders the gateways that decide on the first slot
   */
  public Journal(List<String> founders) {
    voters = List.copyOf(founders);
    base = new Base(0, 0, 0, voters);
  }

  // ---- events ----

  /**
   * Adds a provisional event.
   *
   * @return false if the event is known already, compacted ones included
   */
  public boolean put(Entry entry) {
    if (!events.put(entry)) {
      return false;
    }
    log(entry.channel()).put(entry);
    return true;
  }

  /** Returns true unless a different event is in memory under the identifier of this one. */
  public boolean sameAsHeld(Entry entry) {
    return events.hasNoConflict(entry);
  }

  /** Returns an event; null if it is unknown or compacted. */
  public Entry entry(long incarnation, long sequence) {
    return events.entry(incarnation, sequence);
  }

  /** Returns a live view of the events of a span that are known and not compacted. */
  public Collection<Entry> entries(Span span) {
    return events.entries(span);
  }

  private ChannelLog log(String channel) {
    return logs.computeIfAbsent(
        channel, name -> new ChannelLog(name, new CueProjection(), new CueProjection()));
  }

  // ---- decided cuts ----

  /**
   * Adds a decided cut.
   *
   * @return false if the cut is not added: it is known already, its slot does not follow the last
   *     decided one, or too many cuts are not compacted
   */
  public boolean learn(Cut cut) {
    if (cut.slot() != decided + 1 || decided - base.slot > MAX_CUTS) {
      Cut existing = cuts.get(cut.slot());
      Invariant.holds(
          existing == null || existing.equals(cut),
          () -> "two different cuts are decided for slot " + cut.slot());
      return false;
    }
    cuts.put(cut.slot(), cut);
    decided = cut.slot();
    return true;
  }

  /** Applies the decided cuts in order, up to the first one with an unknown event. */
  public void apply() {
    Cut next = cuts.get(applied + 1);
    while (next != null && isHeld(next)) {
      apply(next);
      next = cuts.get(applied + 1);
    }
  }

  /** Returns true if all events of a cut are known. */
  public boolean isHeld(Cut cut) {
    for (Span span : cut.spans()) {
      if (!events.known().hasAll(span)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns true if a cut is valid as the next one to apply: its slot follows the last applied one,
   * its events are not stable yet, and its upper bound is not below that of the last applied cut.
   */
  public boolean isNext(Cut cut) {
    List<Span> provisional = new ArrayList<>();
    long size = 0;
    for (Span span : cut.spans()) {
      events.stable().missing(span, provisional);
      size += span.size();
    }
    long provisionalSize = provisional.stream().mapToLong(Span::size).sum();
    return cut.slot() == applied + 1 && provisionalSize == size && cut.upTo() >= upTo;
  }

  private void apply(Cut cut) {
    Invariant.holds(
        isNext(cut),
        () -> "cut of slot " + cut.slot() + " is not a valid successor of slot " + applied);
    List<Entry> ordered = new ArrayList<>();
    for (Span span : cut.spans()) {
      ordered.addAll(events.makeStable(span));
    }
    ordered.sort(Entry.ORDER);
    for (Entry entry : ordered) {
      events.removeFromTail(entry);
      log(entry.channel()).makeStable(entry, cut.slot(), upTo);
      digest =
          EntryCodec.mix(
              digest * DIGEST_FACTOR
                  + entry.incarnation() * DIGEST_INCARNATION_FACTOR
                  + entry.sequence());
    }
    digest = EntryCodec.mix(digest * DIGEST_FACTOR + cut.slot() + cut.upTo());
    applied = cut.slot();
    upTo = cut.upTo();
    voters = cut.voters();
    digests.put(applied, digest);
    events.checkSizes();
  }

  /**
   * Returns the digest of all stable events up to a slot.
   *
   * @return the digest; null if the slot is not applied, or lies before the last compacted one
   */
  public Long digest(long slot) {
    return slot == base.slot ? Long.valueOf(base.digest) : digests.get(slot);
  }

  // ---- compaction ----

  /**
   * Compacts the log up to a slot, at most up to the last applied one.
   *
   * @return the events that were removed from memory
   */
  public List<Entry> compact(long slot) {
    List<Entry> removed = new ArrayList<>();
    long last = Math.min(slot, applied);
    for (long next = base.slot + 1; next <= last; next++) {
      Cut cut = cuts.remove(next);
      for (Span span : cut.spans()) {
        compacted.add(span);
        events.compact(span, removed);
      }
      base = new Base(next, cut.upTo(), digests.remove(next), cut.voters());
    }
    events.removeEmptyIncarnations();
    for (ChannelLog log : logs.values()) {
      log.compact(log.upTo(base.slot));
    }
    return removed;
  }

  /** Returns the compacted state, which covers all compacted events. */
  public CompactedState sum() {
    Map<String, CueProjection> projections = new TreeMap<>();
    logs.forEach(
        (name, log) -> {
          if (log.base().count() > 0) {
            projections.put(name, log.base());
          }
        });
    return new CompactedState(
        base.slot, base.upTo, base.digest, base.voters, compacted.spans(), projections);
  }

  /**
   * Replaces the contents by compacted state. The caller has to put the returned events again
   * afterwards.
   *
   * @param state the state that becomes the base
   * @param copy the same state decoded a second time, to which the events that follow are applied
   * @return the events that were in memory and are not in the state, in the order of their stamps
   */
  public List<Entry> startFrom(CompactedState state, CompactedState copy) {
    Invariant.holds(
        state.slot() >= base.slot, () -> "compacted state is older than the journal's own");
    EventSet covered = new EventSet();
    state.spans().forEach(covered::add);
    List<Entry> remaining = events.without(covered);
    events.restart(state.spans());
    logs.clear();
    state
        .projections()
        .forEach(
            (name, projection) ->
                logs.put(name, new ChannelLog(name, projection, copy.projections().get(name))));
    digests.clear();
    compacted = covered;
    base = new Base(state.slot(), state.upTo(), state.digest(), state.voters());
    applied = base.slot;
    upTo = base.upTo;
    digest = base.digest;
    voters = base.voters;
    removeCompactedCuts();
    return remaining;
  }

  private void removeCompactedCuts() {
    cuts.headMap(base.slot, true).clear();
    if (!cuts.isEmpty() && cuts.firstKey() != base.slot + 1) {
      cuts.clear();
    }
    decided = cuts.isEmpty() ? base.slot : cuts.lastKey();
  }

  // ---- reading ----

  /** Returns the set of known events, including compacted ones. */
  public EventSet held() {
    return events.known();
  }

  /** Returns the set of stable events, including compacted ones. */
  public EventSet stable() {
    return events.stable();
  }

  /** Returns the set of known events that are provisional. */
  public EventSet provisional() {
    return events.provisional();
  }

  /** Returns a live view of the provisional events, in the order of their stamps. */
  public SortedSet<Entry> tail() {
    return Collections.unmodifiableSortedSet(events.tail());
  }

  /** Returns a live view of the logs of the channels, by channel name. */
  public NavigableMap<String, ChannelLog> logs() {
    return Collections.unmodifiableNavigableMap(logs);
  }

  /** Returns a live view of the decided cuts that are not compacted, by slot. */
  public NavigableMap<Long, Cut> cuts() {
    return Collections.unmodifiableNavigableMap(cuts);
  }

  /** Returns the slot up to which the log is compacted; 0 if no slot is. */
  public long base() {
    return base.slot;
  }

  /** Returns the slot up to which all cuts are applied. */
  public long applied() {
    return applied;
  }

  /** Returns the last slot whose decided cut is known. */
  public long decided() {
    return decided;
  }

  /** Returns the upper bound of the last applied cut, a stamp of the hybrid logical clock. */
  public long upTo() {
    return upTo;
  }

  /** Returns the digest of all stable events. */
  public long digest() {
    return digest;
  }

  /** Returns the approximate size of the events in memory, in bytes. */
  public long bytes() {
    return events.bytes();
  }

  /** Returns the gateways that decide on the slot after the last decided one. */
  public List<String> voters() {
    return decided == applied ? voters : cuts.get(decided).voters();
  }
}
