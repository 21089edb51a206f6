package tillerlink.endpointcache;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import tillerlink.model.DecayingSum;
import tillerlink.model.Engine.Status;
import tillerlink.net.state.EndpointCache;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EndpointWatchEvent;

/**
 * What is remembered of the engines: the list as last told and when, those seen draining or gone,
 * how fast the fleet changes. It does no I/O: what is to be kept goes to a {@link Sink}, at a
 * bounded rate.
 */
public final class EndpointHistory implements EndpointCache {
  /** Where what is to be kept goes; it never waits. */
  @FunctionalInterface
  public interface Sink {
    /**
     * @param value null removes the key; @param soon it tells of an engine, not only that all is as
     *     it was
     */
    void keep(String key, byte[] value, boolean soon);
  }

  private static final String ENGINE = "engine/";
  private static final String LIST = "list";
  private static final int TENTHS_PER_MS = 10;

  /** Times of the longest deadline. */
  private static final double CONFIRMED_EVERY = 1;

  private static final double GONE_KEPT = 200;
  private static final double RATE_FADES = 2000;
  private static final double HELD_FOR = 0.2;

  /** A list that lost more than this share at once is believed when it is told again. */
  private static final double LOST_MOST = 0.5;

  private static final int LOST_LEAST = 2;
  private static final int TOLD_AGAIN = 3;
  private static final int ENGINES_MOST = 10_000;

  private final Sink sink;
  private final long longestDeadline;
  private final long warmWithin;
  private final long ageMost;
  private final NavigableMap<String, CachedEndpoint> wanted = new TreeMap<>();
  private final Map<String, CachedEndpoint> kept = new LinkedHashMap<>();
  private final DecayingSum changes;
  private long confirmedAt;
  private long listKeptAt = Long.MIN_VALUE;
  private boolean told;
  private double rateAtStart;

  /** Engines that a list has left out, which may be a fault of the list. */
  private final Set<String> doubted = new LinkedHashSet<>();

  private long doubtedSince;
  private int doubtedTimes;

  /**
   * @param longestDeadline the longest deadline of any request class
   * @param warmWithin how long an engine counts as cold
   * @param ageMost from which age on a list is not trusted at all; all are tenths of a millisecond
   */
  public EndpointHistory(
      NavigableMap<String, byte[]> stored,
      long longestDeadline,
      long warmWithin,
      long ageMost,
      Sink sink) {
    this.sink = sink;
    this.longestDeadline = longestDeadline;
    this.warmWithin = warmWithin;
    this.ageMost = ageMost;
    changes = new DecayingSum(RATE_FADES * longestDeadline);
    stored.forEach(
        (key, value) -> {
          if (key.startsWith(ENGINE)) {
            String id = key.substring(ENGINE.length());
            CachedEndpoint seen = CachedEndpoint.decoded(id, value);
            if (seen != null) {
              wanted.put(id, seen);
              kept.put(id, seen);
            }
          } else if (key.equals(LIST)) {
            read(value);
          }
        });
  }

  private void read(byte[] value) {
    String[] parts = new String(value, StandardCharsets.UTF_8).split("\t", -1);
    try {
      confirmedAt = Long.parseLong(parts[0]) * TENTHS_PER_MS;
      rateAtStart = parts.length > 1 ? Double.parseDouble(parts[1]) : 0;
    } catch (NumberFormatException e) {
      confirmedAt = 0;
    }
  }

  // ---- a start with discovery down ----

  /** How far what is remembered is trusted now. */
  public StalenessModel trust(long now) {
    return confirmedAt == 0
        ? StalenessModel.TOO_OLD
        : StalenessModel.of(now - confirmedAt, rateAtStart, longestDeadline, ageMost);
  }

  @Override
  public CachedList loadAtStart(long now) {
    StalenessModel trust = trust(now);
    if (trust == StalenessModel.TOO_OLD) {
      return new CachedList(null, Map.of());
    }
    List<EndpointEntry> entries = new ArrayList<>();
    Map<String, Double> levels = new LinkedHashMap<>();
    for (CachedEndpoint seen : wanted.values()) {
      if (!seen.isGone()) {
        entries.add(coldIfNew(seen.entry(), now));
        levels.put(seen.entry().id(), trust.level);
      }
    }
    return new CachedList(new EndpointWatchEvent(0, true, entries), levels);
  }

  /**
   * One that was cold when it was last told may have started anew since: it counts as just started.
   */
  private EndpointEntry coldIfNew(EndpointEntry e, long now) {
    boolean isNew = e.startedMs() > 0 && e.startedMs() * TENTHS_PER_MS + warmWithin > confirmedAt;
    return isNew
        ? new EndpointEntry(
            e.id(),
            e.address(),
            e.port(),
            e.zone(),
            e.kind(),
            e.cell(),
            e.standing(),
            e.weight(),
            now / TENTHS_PER_MS)
        : e;
  }

  // ---- discovery answers ----

  @Override
  public EndpointWatchEvent onEndpointsReceived(long now, EndpointWatchEvent news) {
    Map<String, EndpointEntry> listed = new LinkedHashMap<>();
    news.entries().forEach(entry -> listed.put(entry.id(), entry));
    Set<String> lost = new LinkedHashSet<>();
    for (CachedEndpoint seen : wanted.values()) {
      if (news.whole() && !seen.isGone() && !listed.containsKey(seen.entry().id())) {
        lost.add(seen.entry().id());
      }
    }
    boolean held = holdsBack(now, lost);
    List<EndpointEntry> entries = new ArrayList<>(news.entries());
    if (held) {
      // Nothing new goes to those that the list left out, yet nothing that is known of them is
      // forgotten.
      lost.forEach(id -> entries.add(draining(wanted.get(id).entry())));
    } else {
      lost.forEach(id -> wanted.put(id, wanted.get(id).gone(now / TENTHS_PER_MS)));
      changes.add(now, lost.size());
    }
    for (EndpointEntry entry : news.entries()) {
      CachedEndpoint before = wanted.get(entry.id());
      boolean another =
          before == null || before.isGone() || before.entry().startedMs() != entry.startedMs();
      changes.add(now, told && another ? 1 : 0);
      if (before != null || wanted.size() < ENGINES_MOST) {
        wanted.put(
            entry.id(),
            entry.standing() == Status.GONE
                ? new CachedEndpoint(entry, 0).gone(now / TENTHS_PER_MS)
                : new CachedEndpoint(entry, 0));
      }
    }
    if (!held) {
      confirmedAt = now;
    }
    told = true;
    forgetOld(now);
    emit(now);
    return new EndpointWatchEvent(news.index(), news.whole(), news.partial(), entries);
  }

  /** Whether a list that lost much of the fleet at once is not yet believed. */
  private boolean holdsBack(long now, Set<String> lost) {
    long known = wanted.values().stream().filter(seen -> !seen.isGone()).count();
    if (lost.size() < LOST_LEAST || lost.size() <= LOST_MOST * known) {
      doubted.clear();
      return false;
    }
    if (!lost.equals(doubted)) {
      doubted.clear();
      doubted.addAll(lost);
      doubtedSince = now;
      doubtedTimes = 0;
    }
    doubtedTimes++;
    return doubtedTimes < TOLD_AGAIN || now < doubtedSince + HELD_FOR * longestDeadline;
  }

  private static EndpointEntry draining(EndpointEntry e) {
    return new EndpointEntry(
        e.id(),
        e.address(),
        e.port(),
        e.zone(),
        e.kind(),
        e.cell(),
        Status.DRAINING,
        e.weight(),
        e.startedMs());
  }

  /** Those that have been gone for long can't be brought back by any list that is trusted. */
  private void forgetOld(long now) {
    for (Iterator<CachedEndpoint> i = wanted.values().iterator(); i.hasNext(); ) {
      CachedEndpoint seen = i.next();
      if (seen.isGone() && now > seen.goneAt() * TENTHS_PER_MS + GONE_KEPT * longestDeadline) {
        i.remove();
      }
    }
  }

  /** The one place where what is to be kept and what is kept are compared. */
  private void emit(long now) {
    boolean changed = false;
    for (Map.Entry<String, CachedEndpoint> entry : wanted.entrySet()) {
      if (!entry.getValue().equals(kept.get(entry.getKey()))) {
        kept.put(entry.getKey(), entry.getValue());
        sink.keep(ENGINE + entry.getKey(), entry.getValue().encoded(), true);
        changed = true;
      }
    }
    for (Iterator<String> i = kept.keySet().iterator(); i.hasNext(); ) {
      String id = i.next();
      if (!wanted.containsKey(id)) {
        i.remove();
        sink.keep(ENGINE + id, null, true);
        changed = true;
      }
    }
    if (changed || now >= listKeptAt + CONFIRMED_EVERY * longestDeadline) {
      listKeptAt = now;
      sink.keep(
          LIST,
          (confirmedAt / TENTHS_PER_MS + "\t" + rate(now)).getBytes(StandardCharsets.UTF_8),
          changed);
    }
  }

  /** The share of the fleet that changes in a tenth of a millisecond, of late. */
  private double rate(long now) {
    long known = Math.max(1, wanted.values().stream().filter(seen -> !seen.isGone()).count());
    return changes.at(now) / known / (RATE_FADES * longestDeadline);
  }
}
