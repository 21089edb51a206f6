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
 * Plans the cut that this gateway proposes next. A plan affects only how many events come late;
 * consensus alone makes stable events stay so. Times are tenths of a millisecond.
 */
public final class Planner {
  /** Incarnations in a cut at the most: it fits in one message that every link carries. */
  private static final int MAX_INCARNATIONS = 24;

  /** Events in a cut at the most. */
  private static final int MAX_ENTRIES = 8000;

  private static final int MIN_VOTERS = 2;

  private final List<String> counted;
  private final long absentAfter;
  private final TreeMap<Long, Long> gapsSince = new TreeMap<>();
  private final TreeMap<Long, Long> causesSince = new TreeMap<>();

  /** The events of a cut, in their order, and its upper bound. */
  private record Selection(List<Entry> entries, long upTo) {}

  /**
   * Makes a planner.
   *
   * @param counted the gateways that the operator counts
   * @param absentAfter a gateway that was silent for so long is left out
   */
  public Planner(List<String> counted, long absentAfter) {
    this.counted = counted;
    this.absentAfter = absentAfter;
  }

  /**
   * Plans the next cut.
   *
   * @param caughtUp the gateways that have applied all decided cuts
   * @param waitedFor the gateways whose events are waited for, unless they are silent
   * @return null if there is nothing to decide on
   */
  public Cut next(
      long now, Journal journal, Standings standings, Set<String> caughtUp, Set<String> waitedFor) {
    List<String> voters = voters(now, journal, standings, caughtUp);
    long complete = completeUpTo(now, journal, standings, voters, waitedFor);
    Selection selection = select(now, journal, Math.min(complete, gapBound(now, journal)));
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

  /** The voters of the slots after this one. */
  private List<String> voters(
      long now, Journal journal, Standings standings, Set<String> caughtUp) {
    Set<String> voters = new TreeSet<>();
    for (String voter : journal.voters()) {
      if (counted.contains(voter) && standings.isHeard(voter, now, absentAfter)) {
        voters.add(voter);
      }
    }
    for (String other : counted) {
      if (caughtUp.contains(other) && standings.isHeard(other, now, absentAfter)) {
        voters.add(other);
      }
    }
    return voters.size() < MIN_VOTERS ? journal.voters() : List.copyOf(voters);
  }

  // ---- up to which stamp events are complete ----

  /** The stamp up to which all events of the voters and of those waited for are held here. */
  private long completeUpTo(
      long now, Journal journal, Standings standings, List<String> voters, Set<String> waitedFor) {
    Set<String> writers = new TreeSet<>(waitedFor);
    writers.addAll(voters);
    long bound = Long.MAX_VALUE;
    for (String gateway : writers) {
      if (voters.contains(gateway) || standings.isHeard(gateway, now, absentAfter)) {
        Standings.Heard heard = standings.of(gateway);
        bound = Math.min(bound, heard == null ? 0 : heldUpTo(heard.standing(), journal));
      }
    }
    return bound;
  }

  /** The stamp up to which all events of a gateway are held here. */
  private static long heldUpTo(Standing standing, Journal journal) {
    long prefix = journal.held().prefix(standing.incarnation());
    if (prefix >= standing.top()) {
      return standing.floor();
    }
    Entry last = prefix == 0 ? null : journal.entry(standing.incarnation(), prefix);
    return last == null ? 0 : last.stamp();
  }

  /**
   * The stamp below all events that follow a gap in what is held. A gap that stays too long is
   * ignored, and what fills it afterwards comes late.
   */
  private long gapBound(long now, Journal journal) {
    long bound = Long.MAX_VALUE;
    Map<Long, Long> before = new TreeMap<>(gapsSince);
    gapsSince.clear();
    for (long incarnation : journal.provisional().incarnations()) {
      List<Span> held = journal.held().spans(incarnation);
      Span last = held.get(held.size() - 1);
      if (held.size() > 1 || last.from() > 1) {
        long since = before.getOrDefault(incarnation, now);
        gapsSince.put(incarnation, since);
        if (now - since <= absentAfter) {
          bound = Math.min(bound, firstAfterGap(journal, held) - 1);
        }
      }
    }
    return bound;
  }

  /** The stamp of the first event after a gap that is not applied yet. */
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

  /** Selects provisional events in their order, up to a stamp and to the size of a cut. */
  private Selection select(long now, Journal journal, long bound) {
    List<Entry> selected = new ArrayList<>();
    Set<Long> incarnations = new TreeSet<>();
    for (Entry entry : journal.tail()) {
      if (entry.stamp() > bound) {
        break;
      }
      if (isFull(selected, incarnations, entry) || !causesHeld(now, entry, journal)) {
        long last = selected.isEmpty() ? 0 : selected.get(selected.size() - 1).stamp();
        return new Selection(selected, Math.max(journal.upTo(), last));
      }
      selected.add(entry);
      incarnations.add(entry.incarnation());
    }
    return new Selection(selected, Math.max(bound, journal.upTo()));
  }

  private static boolean isFull(List<Entry> selected, Set<Long> incarnations, Entry next) {
    return selected.size() >= MAX_ENTRIES
        || (incarnations.size() >= MAX_INCARNATIONS && !incarnations.contains(next.incarnation()));
  }

  /**
   * Whether the events that the writer had seen are held. One that stays away too long is ignored:
   * it was lost with a disk, and if it arrives after all, it comes late.
   */
  private boolean causesHeld(long now, Entry entry, Journal journal) {
    for (List<Dot> dots : List.of(entry.over(), entry.seen())) {
      for (Dot dot : dots) {
        if (!journal.held().has(dot.incarnation(), dot.sequence())) {
          long since = causesSince.computeIfAbsent(dot.incarnation(), any -> now);
          if (now - since <= absentAfter) {
            return false;
          }
        }
      }
    }
    if (causesSince.size() > MAX_INCARNATIONS) {
      causesSince.clear();
    }
    return true;
  }

  private static List<Span> spans(List<Entry> entries) {
    EventSet events = new EventSet();
    entries.forEach(entry -> events.add(entry.incarnation(), entry.sequence()));
    return events.spans();
  }
}
