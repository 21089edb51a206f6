package tillerlink.endpointcache;

import java.util.ArrayList;
import java.util.HashSet;
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
 * The endpoint list as discovery last reported it and when, the endpoints that were draining or
 * gone, and how fast the fleet changes. Does no I/O: what is to be persisted goes to a {@link
 * Sink}, at a bounded rate. Not thread-safe: the event loop owns it. Times are tenths of a
 * millisecond unless they say otherwise.
 */
public final class EndpointHistory implements EndpointCache {
  /** Takes the changes that are to be persisted; it must not block. */
  @FunctionalInterface
  public interface Sink {
    /**
     * Persists one value.
     *
     * @param value null removes the key
     * @param soon whether an endpoint changed; otherwise the list was only confirmed
     */
    void write(String key, byte[] value, boolean soon);
  }

  private static final String ENDPOINT_PREFIX = "engine/";
  private static final String LIST_KEY = "list";
  private static final int TENTHS_PER_MS = 10;

  // Times as multiples of the longest deadline.
  private static final double CONFIRMATION_INTERVAL = 1;
  private static final double GONE_RETENTION = 200;
  private static final double CHANGE_RATE_DECAY = 2000;

  private static final int MAX_ENDPOINTS = 10_000;

  private final Sink sink;
  private final long longestDeadline;
  private final long warmupTime;
  private final long maxAge;

  /** What is known of each endpoint by its id. */
  private final NavigableMap<String, CachedEndpoint> endpoints = new TreeMap<>();

  /** What was handed to the sink. */
  private final Map<String, CachedEndpoint> persisted = new LinkedHashMap<>();

  private final MassLossGuard lossGuard;
  private final DecayingSum changes;
  private ListConfirmation confirmationAtStart = ListConfirmation.NONE;
  private long confirmedAt;
  private long confirmationWrittenAt = Long.MIN_VALUE;
  private boolean receivedAny;

  /**
   * @param stored what an earlier process persisted, by key; values that are malformed are ignored
   * @param longestDeadline of any request class
   * @param warmupTime how long after its start an engine counts as warming up
   * @param maxAge the age from which on a list is not used at all
   */
  public EndpointHistory(
      NavigableMap<String, byte[]> stored,
      long longestDeadline,
      long warmupTime,
      long maxAge,
      Sink sink) {
    this.sink = sink;
    this.longestDeadline = longestDeadline;
    this.warmupTime = warmupTime;
    this.maxAge = maxAge;
    lossGuard = new MassLossGuard(longestDeadline);
    changes = new DecayingSum(CHANGE_RATE_DECAY * longestDeadline);
    stored.forEach(this::load);
  }

  private void load(String key, byte[] value) {
    if (key.startsWith(ENDPOINT_PREFIX)) {
      String id = key.substring(ENDPOINT_PREFIX.length());
      CachedEndpoint endpoint = CachedEndpoint.decoded(id, value);
      if (endpoint != null) {
        endpoints.put(id, endpoint);
        persisted.put(id, endpoint);
      }
    } else if (key.equals(LIST_KEY)) {
      confirmationAtStart = ListConfirmation.decoded(value);
      confirmedAt = confirmationAtStart.confirmedAt();
    }
  }

  // ---- a start without discovery ----

  /** How stale the list is now. */
  public StalenessModel staleness(long now) {
    return confirmedAt == 0
        ? StalenessModel.TOO_OLD
        : StalenessModel.of(
            now - confirmedAt, confirmationAtStart.changeRate(), longestDeadline, maxAge);
  }

  @Override
  public CachedList loadAtStart(long now) {
    StalenessModel staleness = staleness(now);
    if (staleness == StalenessModel.TOO_OLD) {
      return new CachedList(null, Map.of());
    }
    List<EndpointEntry> entries = new ArrayList<>();
    Map<String, Double> confidence = new LinkedHashMap<>();
    for (CachedEndpoint endpoint : endpoints.values()) {
      if (!endpoint.isGone()) {
        entries.add(warmingUpIfRecent(endpoint.entry(), now));
        confidence.put(endpoint.entry().id(), staleness.confidence());
      }
    }
    return new CachedList(new EndpointWatchEvent(0, true, entries), confidence);
  }

  /**
   * An engine that was warming up when the list was confirmed may have been restarted since, so it
   * counts as just started.
   */
  private EndpointEntry warmingUpIfRecent(EndpointEntry entry, long now) {
    boolean warmingUp =
        entry.startedMs() > 0 && entry.startedMs() * TENTHS_PER_MS + warmupTime > confirmedAt;
    return warmingUp
        ? new EndpointEntry(
            entry.id(),
            entry.address(),
            entry.port(),
            entry.zone(),
            entry.kind(),
            entry.cell(),
            entry.standing(),
            entry.weight(),
            now / TENTHS_PER_MS)
        : entry;
  }

  // ---- events of discovery ----

  @Override
  public EndpointWatchEvent onEndpointsReceived(long now, EndpointWatchEvent event) {
    Set<String> lost = lostBy(event);
    boolean heldBack = lossGuard.holdsBack(now, lost, countPresent());
    List<EndpointEntry> effective = new ArrayList<>(event.entries());
    if (heldBack) {
      // Nothing new is sent to the endpoints left out, yet nothing known of them is dropped.
      lost.forEach(id -> effective.add(endpoints.get(id).entry().withStatus(Status.DRAINING)));
    } else {
      lost.forEach(id -> endpoints.put(id, endpoints.get(id).gone(now / TENTHS_PER_MS)));
      changes.add(now, lost.size());
    }
    event.entries().forEach(entry -> update(now, entry));
    if (!heldBack) {
      confirmedAt = now;
    }
    receivedAny = true;
    forgetLongGone(now);
    persistChanges(now);
    return new EndpointWatchEvent(event.serial(), event.complete(), event.partial(), effective);
  }

  /** The endpoints known so far that a whole list leaves out. */
  private Set<String> lostBy(EndpointWatchEvent event) {
    Set<String> lost = new LinkedHashSet<>();
    if (event.complete()) {
      Set<String> listed = new HashSet<>();
      event.entries().forEach(entry -> listed.add(entry.id()));
      endpoints.forEach(
          (id, endpoint) -> {
            if (!endpoint.isGone() && !listed.contains(id)) {
              lost.add(id);
            }
          });
    }
    return lost;
  }

  private void update(long now, EndpointEntry entry) {
    CachedEndpoint known = endpoints.get(entry.id());
    boolean replaced =
        known == null || known.isGone() || known.entry().startedMs() != entry.startedMs();
    changes.add(now, receivedAny && replaced ? 1 : 0);
    if (known != null || endpoints.size() < MAX_ENDPOINTS) {
      CachedEndpoint endpoint = new CachedEndpoint(entry, 0);
      endpoints.put(entry.id(), endpoint.isGone() ? endpoint.gone(now / TENTHS_PER_MS) : endpoint);
    }
  }

  private long countPresent() {
    return endpoints.values().stream().filter(endpoint -> !endpoint.isGone()).count();
  }

  /** Drops endpoints gone for so long that no list still in use can bring them back. */
  private void forgetLongGone(long now) {
    double retention = GONE_RETENTION * longestDeadline;
    endpoints
        .values()
        .removeIf(
            endpoint -> endpoint.isGone() && now > endpoint.goneAt() * TENTHS_PER_MS + retention);
  }

  /** The one place that compares what is known with what was persisted. */
  private void persistChanges(long now) {
    boolean changed = false;
    for (Map.Entry<String, CachedEndpoint> known : endpoints.entrySet()) {
      if (!known.getValue().equals(persisted.get(known.getKey()))) {
        persisted.put(known.getKey(), known.getValue());
        sink.write(ENDPOINT_PREFIX + known.getKey(), known.getValue().encoded(), true);
        changed = true;
      }
    }
    for (Iterator<String> ids = persisted.keySet().iterator(); ids.hasNext(); ) {
      String id = ids.next();
      if (!endpoints.containsKey(id)) {
        ids.remove();
        sink.write(ENDPOINT_PREFIX + id, null, true);
        changed = true;
      }
    }
    if (changed || now >= confirmationWrittenAt + CONFIRMATION_INTERVAL * longestDeadline) {
      confirmationWrittenAt = now;
      sink.write(LIST_KEY, new ListConfirmation(confirmedAt, changeRate(now)).encoded(), changed);
    }
  }

  /** The fraction of the fleet that changes in a tenth of a millisecond, of late. */
  private double changeRate(long now) {
    long present = Math.max(1, countPresent());
    return changes.valueAt(now) / present / (CHANGE_RATE_DECAY * longestDeadline);
  }
}
