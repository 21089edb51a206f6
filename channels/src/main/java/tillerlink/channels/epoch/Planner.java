package tillerlink.channels.epoch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import tillerlink.channels.journal.EventSet;
import tillerlink.channels.journal.Journal;
import tillerlink.messages.channels.ChannelsMessage.Standing;
import tillerlink.messages.channels.Cut;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.Span;

/**
 * The planner of the cut that this gateway proposes next. A plan affects only how many events are
 * late; that stable events stay stable depends on consensus alone. Times are tenths of a
 * millisecond.
 */
public final class Planner {
  /**
   * The maximum number of incarnations in a cut, so that the cut fits in one message small enough
   * for every link.
   */
  private static final int MAX_INCARNATIONS = 24;

  /** The maximum number of events in a cut. */
  private static final int MAX_ENTRIES = 8000;

  private static final int MIN_VOTERS = 2;

  private final List<String> counted;
  private final long absentAfter;

  /** When a gap was first seen in the events held of an incarnation, by incarnation. */
  private final TreeMap<Long, Long> gapSince = new TreeMap<>();

  /** When a cause of an event was first missed, by the incarnation that wrote the cause. */
  private final TreeMap<Long, Long> causeMissingSince = new TreeMap<>();

  /** The events of a cut, in their order, and the stamp that is the cut's upper bound. */
  private record Selection(List<Entry> entries, long upTo) {}

  /**
   * Creates a planner.
   *
   * @param counted the gateways that the operator's settings allow as voters
   * @param absentAfter the time in tenths of a millisecond after which silent gateways, gaps and
   *     missing causes are no longer waited for
   */
  public Planner(List<String> counted, long absentAfter) {
    this.counted = counted;
    this.absentAfter = absentAfter;
  }

  /**
   * Returns the cut to propose next.
   *
   * @param now the time in tenths of a millisecond
   * @param journal the events and cuts held here
   * @param standings the latest known standing of each gateway
   * @param caughtUp the gateways that have applied all decided cuts
   * @param waitedFor the gateways whose events are waited for, unless they are silent
   * @return the cut; null if there is nothing to decide
   */
  public Cut next(
      long now, Journal journal, Standings standings, Set<String> caughtUp, Set<String> waitedFor) {
    List<String> voters = voters(now, journal, standings, caughtUp);
    long completeBound = completeUpTo(now, journal, standings, voters, waitedFor);
    Selection selection = select(now, journal, Math.min(completeBound, gapBound(now, journal)));
    boolean isEmpty = selection.entries.isEmpty();
    if (isEmpty && voters.equals(journal.voters())) {
      return null;
    }
    return new Cut(
        journal.applied() + 1,
        isEmpty ? journal.upTo() : selection.upTo,
        spans(selection.entries),
        voters);
  }

  /**
   * Returns the voters of the slots after this one: the counted gateways that are not silent and
   * vote already or have caught up. If fewer than two remain, the voters stay the same.
   */
  private List<String> voters(
      long now, Journal journal, Standings standings, Set<String> caughtUp) {
    Set<String> voters = new TreeSet<>();
    for (String voter : journal.voters()) {
      if (counted.contains(voter) && standings.advancedWithin(voter, now, absentAfter)) {
        voters.add(voter);
      }
    }
    for (String candidate : counted) {
      if (caughtUp.contains(candidate) && standings.advancedWithin(candidate, now, absentAfter)) {
        voters.add(candidate);
      }
    }
    return voters.size() < MIN_VOTERS ? journal.voters() : List.copyOf(voters);
  }

  // ---- completeness bound ----

  /**
   * Returns the stamp up to which all events of the voters and of the gateways waited for are held
   * here. A gateway that is waited for but silent, and is no voter, is ignored.
   */
  private long completeUpTo(
      long now, Journal journal, Standings standings, List<String> voters, Set<String> waitedFor) {
    Set<String> writers = new TreeSet<>(waitedFor);
    writers.addAll(voters);
    long bound = Long.MAX_VALUE;
    for (String gateway : writers) {
      if (voters.contains(gateway) || standings.advancedWithin(gateway, now, absentAfter)) {
        Standings.Tracked tracked = standings.get(gateway);
        bound = Math.min(bound, tracked == null ? 0 : heldUpTo(tracked.standing(), journal));
      }
    }
    return bound;
  }

  /** Returns the stamp up to which all events of a gateway are held here. */
  private static long heldUpTo(Standing standing, Journal journal) {
    long prefix = journal.held().prefix(standing.incarnation());
    if (prefix >= standing.top()) {
      return standing.floor();
    }
    Entry last = prefix == 0 ? null : journal.entry(standing.incarnation(), prefix);
    return last == null ? 0 : last.stamp();
  }

  /**
   * Returns a stamp that is lower than those of all events that follow a gap in the events held. A
   * gap that lasts longer than {@code absentAfter} is ignored; events that fill it afterwards are
   * late.
   */
  private long gapBound(long now, Journal journal) {
    long bound = Long.MAX_VALUE;
    Map<Long, Long> previous = new TreeMap<>(gapSince);
    gapSince.clear();
    for (long incarnation : journal.provisional().incarnations()) {
      List<Span> held = journal.held().spans(incarnation);
      Span last = held.get(held.size() - 1);
      if (held.size() > 1 || last.from() > 1) {
        long since = previous.getOrDefault(incarnation, now);
        gapSince.put(incarnation, since);
        if (now - since <= absentAfter) {
          bound = Math.min(bound, firstAfterGap(journal, held) - 1);
        }
      }
    }
    return bound;
  }

  /** Returns the stamp of the first event after a gap that is not applied yet. */
  private static long firstAfterGap(Journal journal, List<Span> held) {
    for (Span span : held) {
      Entry first = span.from() == 1 ? null : journal.entry(span.incarnation(), span.from());
      if (first != null && !journal.stable().has(span.incarnation(), span.from())) {
        return first.stamp();
      }
    }
    return Long.MAX_VALUE;
  }

  // ---- events ----

  /**
   * Selects provisional events in their order, up to a stamp, the maximum size of a cut, or the
   * first event with a missing cause.
   */
  private Selection select(long now, Journal journal, long bound) {
    List<Entry> selected = new ArrayList<>();
    Set<Long> incarnations = new TreeSet<>();
    for (Entry entry : journal.tail()) {
      if (entry.stamp() > bound) {
        break;
      }
      if (isFull(selected, incarnations, entry) || !areCausesHeld(now, entry, journal)) {
        long last = selected.isEmpty() ? 0 : selected.get(selected.size() - 1).stamp();
        return new Selection(selected, Math.max(journal.upTo(), last));
      }
      selected.add(entry);
      incarnations.add(entry.incarnation());
    }
    return new Selection(selected, Math.max(bound, journal.upTo()));
  }

  /** Returns whether the selection has no room for another event. */
  private static boolean isFull(List<Entry> selected, Set<Long> incarnations, Entry next) {
    return selected.size() >= MAX_ENTRIES
        || (incarnations.size() >= MAX_INCARNATIONS && !incarnations.contains(next.incarnation()));
  }

  /**
   * Returns whether all events that the writer had seen are held. One that is missing for longer
   * than {@code absentAfter} is ignored, because it was lost with a disk; if it arrives after all,
   * it is late.
   */
  private boolean areCausesHeld(long now, Entry entry, Journal journal) {
    for (List<Dot> dots : List.of(entry.over(), entry.seen())) {
      for (Dot dot : dots) {
        if (!journal.held().has(dot.incarnation(), dot.sequence())) {
          long since = causeMissingSince.computeIfAbsent(dot.incarnation(), ignored -> now);
          if (now - since <= absentAfter) {
            return false;
          }
        }
      }
    }
    if (causeMissingSince.size() > MAX_INCARNATIONS) {
      causeMissingSince.clear();
    }
    return true;
  }

  /** Returns the spans that contain exactly these events. */
  private static List<Span> spans(List<Entry> entries) {
    EventSet events = new EventSet();
    entries.forEach(entry -> events.add(entry.incarnation(), entry.sequence()));
    return events.spans();
  }
}
