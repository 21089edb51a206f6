package tillerlink.channels.epoch;

import java.util.ArrayList;
import java.util.List;
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
 * What the next step should be. That is a matter of judgement only, nothing rests on it but how few
 * events come late: the agreement alone makes what is stable stay so.
 */
public final class Planner {
  /** So that a step goes in one message that every link carries. */
  private static final int INCARNATIONS_MOST = 24;

  private static final int ENTRIES_MOST = 8000;

  private final List<String> counted;
  private final long absentAfter;
  private final TreeMap<Long, Long> gapsSince = new TreeMap<>();
  private final TreeMap<Long, Long> causesSince = new TreeMap<>();

  /**
   * @param counted those that the operator counts in
   * @param absentAfter who was not heard for so long is left out
   */
  public Planner(List<String> counted, long absentAfter) {
    this.counted = counted;
    this.absentAfter = absentAfter;
  }

  /** Those who should agree on the steps after this one. */
  private List<String> voters(
      long now, Journal journal, Standings standings, TreeSet<String> caughtUp) {
    TreeSet<String> voters = new TreeSet<>();
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
    return voters.size() < 2 ? journal.voters() : List.copyOf(voters);
  }

  /**
   * @param caughtUp those that hold all that is agreed on
   * @param waitedFor those whose events are waited for, if they were heard of late
   * @return null if there is nothing to agree on
   */
  public Cut next(
      long now,
      Journal journal,
      Standings standings,
      TreeSet<String> caughtUp,
      TreeSet<String> waitedFor) {
    List<String> voters = voters(now, journal, standings, caughtUp);
    long bound = Long.MAX_VALUE;
    TreeSet<String> all = new TreeSet<>(waitedFor);
    all.addAll(voters);
    for (String gateway : all) {
      Standings.Heard heard = standings.of(gateway);
      if (voters.contains(gateway) || standings.isHeard(gateway, now, absentAfter)) {
        bound = Math.min(bound, heard == null ? 0 : bound(heard.standing(), journal));
      }
    }
    bound = Math.min(bound, gaps(now, journal));
    List<Entry> taken = new ArrayList<>();
    TreeSet<Long> incarnations = new TreeSet<>();
    long upTo = Math.max(bound, journal.upTo());
    for (Entry entry : journal.tail()) {
      boolean full =
          taken.size() >= ENTRIES_MOST
              || incarnations.size() >= INCARNATIONS_MOST
                  && !incarnations.contains(entry.incarnation());
      if (entry.stamp() > bound) {
        break;
      } else if (full || !causesHeld(now, entry, journal)) {
        upTo = Math.max(journal.upTo(), taken.isEmpty() ? 0 : taken.get(taken.size() - 1).stamp());
        break;
      }
      taken.add(entry);
      incarnations.add(entry.incarnation());
    }
    if (taken.isEmpty() && voters.equals(journal.voters())) {
      return null;
    }
    return new Cut(
        journal.applied() + 1, taken.isEmpty() ? journal.upTo() : upTo, spans(taken), voters);
  }

  private static long bound(Standing standing, Journal journal) {
    long prefix = journal.held().prefix(standing.incarnation());
    if (prefix >= standing.top()) {
      return standing.floor();
    }
    Entry last = prefix == 0 ? null : journal.entry(standing.incarnation(), prefix);
    return last == null ? 0 : last.stamp();
  }

  /**
   * Below what may be missing among what is held; a gap that stays is given up, and what fills it
   * later comes late.
   */
  private long gaps(long now, Journal journal) {
    long bound = Long.MAX_VALUE;
    TreeMap<Long, Long> before = new TreeMap<>(gapsSince);
    gapsSince.clear();
    for (long incarnation : journal.extra().incarnations()) {
      List<Span> held = journal.held().spans(incarnation);
      Span last = held.get(held.size() - 1);
      if (held.size() > 1 || last.from() > 1) {
        long since = before.getOrDefault(incarnation, now);
        gapsSince.put(incarnation, since);
        if (now - since <= absentAfter) {
          bound = Math.min(bound, beyondGap(journal, held) - 1);
        }
      }
    }
    return bound;
  }

  private static long beyondGap(Journal journal, List<Span> held) {
    for (Span span : held) {
      Entry first = span.from() == 1 ? null : journal.entry(span.incarnation(), span.from());
      if (first != null && !journal.placed().has(span.incarnation(), span.from())) {
        return first.stamp();
      }
    }
    return Long.MAX_VALUE;
  }

  /**
   * A cause that stays away is given up: it was lost with a disk, and if it turns up after all, it
   * comes late.
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
    if (causesSince.size() > INCARNATIONS_MOST) {
      causesSince.clear();
    }
    return true;
  }

  private static List<Span> spans(List<Entry> entries) {
    EventSet holdings = new EventSet();
    entries.forEach(entry -> holdings.add(entry.incarnation(), entry.sequence()));
    return holdings.spans();
  }
}
