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
 * An endpoint cache that records the endpoint list last reported by the discovery service, the time
 * of that report, the endpoints that are draining or gone, and the rate at which the fleet changes.
 * Performs no I/O: changes to be persisted are passed to a {@link Sink}, and an unchanged list is
 * confirmed there at a bounded rate. Not thread-safe: only the event loop uses it. Times are tenths
 * of a millisecond unless a name says otherwise.
 */
public final class EndpointHistory implements EndpointCache {
  /** Receives the values to be persisted. Implementations must not block. */
  @FunctionalInterface
  public interface Sink {
    /**
     * Persists one value.
     *
     * @param value the value; null removes the key
     * @param endpointChanged whether an endpoint changed, so that the value should be persisted
     *     soon; otherwise the list was only confirmed
     */
    void write(String key, byte[] value, boolean endpointChanged);
  }

  private static final String ENDPOINT_PREFIX = "engine/";
  private static final String LIST_KEY = "list";
  private static final int TENTHS_PER_MS = 10;

  // Times in multiples of the longest deadline.
  private static final double CONFIRMATION_INTERVAL_DEADLINES = 1;
  private static final double GONE_RETENTION_DEADLINES = 200;
  private static final double CHANGE_RATE_DECAY_DEADLINES = 2000;

  private static final int MAX_ENDPOINTS = 10_000;

  private final Sink sink;
  private final long longestDeadline;
  private final long warmupTime;
  private final long maxAge;

  /** The known endpoints by id, including those that are gone. */
  private final NavigableMap<String, CachedEndpoint> endpoints = new TreeMap<>();

  /** The endpoints by id as last passed to the sink. */
  private final Map<String, CachedEndpoint> persisted = new LinkedHashMap<>();

  private final MassLossGuard massLossGuard;
  private final DecayingSum recentChanges;
  private ListConfirmation confirmationAtStart = ListConfirmation.NONE;
  private long confirmedAt;
  private long confirmationWrittenAt = Long.MIN_VALUE;
  private boolean receivedList;

  /**
   * Creates a history from stored values.
   *
   * @param stored the values persisted by an earlier process, by key; malformed values are ignored
   * @param longestDeadline the longest deadline of any request class
   * @param warmupTime the time after its start for which an engine is considered to be warming up
   * @param maxAge the age beyond which a cached list is not used
   * @param sink receives the values to be persisted
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
    massLossGuard = new MassLossGuard(longestDeadline);
    recentChanges = new DecayingSum(CHANGE_RATE_DECAY_DEADLINES * longestDeadline);
    stored.forEach(this::load);
  }

  private void load(String key, byte[] value) {
    if (key.startsWith(ENDPOINT_PREFIX)) {
      String id = key.substring(ENDPOINT_PREFIX.length());
      CachedEndpoint endpoint = CachedEndpoint.decode(id, value);
      if (endpoint != null) {
        endpoints.put(id, endpoint);
        persisted.put(id, endpoint);
      }
    } else if (key.equals(LIST_KEY)) {
      confirmationAtStart = ListConfirmation.decode(value);
      confirmedAt = confirmationAtStart.confirmedAt();
    }
  }

  // ---- start without the discovery service ----

  /** Returns the staleness of the cached list at the time {@code now}. */
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
   * Returns the entry with the start time {@code now} if the engine was warming up when the list
   * was confirmed, and otherwise the entry itself. Such an engine may have been restarted since
   * then, so it is treated as just started.
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

  // ---- events of the discovery service ----

  @Override
  public EndpointWatchEvent onEndpointsReceived(long now, EndpointWatchEvent event) {
    Set<String> lost = missingFrom(event);
    boolean lossDeferred = massLossGuard.shouldDefer(now, lost, countPresent());
    List<EndpointEntry> effective = new ArrayList<>(event.entries());
    if (lossDeferred) {
      // No new requests are sent to the endpoints left out, but they remain known until the loss
      // is accepted.
      lost.forEach(id -> effective.add(endpoints.get(id).entry().withStatus(Status.DRAINING)));
    } else {
      lost.forEach(id -> endpoints.put(id, endpoints.get(id).asGone(now / TENTHS_PER_MS)));
      recentChanges.add(now, lost.size());
    }
    event.entries().forEach(entry -> updateEndpoint(now, entry));
    if (!lossDeferred) {
      confirmedAt = now;
    }
    receivedList = true;
    evictLongGone(now);
    persistChanges(now);
    return new EndpointWatchEvent(event.serial(), event.complete(), event.partial(), effective);
  }

  /**
   * Returns the ids of the known endpoints that are not gone and that a complete list leaves out.
   *
   * @return the ids; empty if the event is only a change to the list
   */
  private Set<String> missingFrom(EndpointWatchEvent event) {
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

  private void updateEndpoint(long now, EndpointEntry entry) {
    CachedEndpoint known = endpoints.get(entry.id());
    boolean replaced =
        known == null || known.isGone() || known.entry().startedMs() != entry.startedMs();
    recentChanges.add(now, receivedList && replaced ? 1 : 0);
    if (known != null || endpoints.size() < MAX_ENDPOINTS) {
      CachedEndpoint endpoint = new CachedEndpoint(entry, 0);
      endpoints.put(
          entry.id(), endpoint.isGone() ? endpoint.asGone(now / TENTHS_PER_MS) : endpoint);
    }
  }

  private long countPresent() {
    return endpoints.values().stream().filter(endpoint -> !endpoint.isGone()).count();
  }

  /**
   * Removes endpoints that have been gone for so long that no list still in use can bring them
   * back.
   */
  private void evictLongGone(long now) {
    double retention = GONE_RETENTION_DEADLINES * longestDeadline;
    endpoints
        .values()
        .removeIf(
            endpoint ->
                endpoint.isGone() && now > endpoint.goneSinceMs() * TENTHS_PER_MS + retention);
  }

  /**
   * Passes all differences between the known and the persisted endpoints to the sink; this is the
   * only place that compares them. Also writes the confirmation of the list: immediately after a
   * change, and otherwise at most once per confirmation interval.
   */
  private void persistChanges(long now) {
    boolean changed = false;
    for (Map.Entry<String, CachedEndpoint> known : endpoints.entrySet()) {
      if (!known.getValue().equals(persisted.get(known.getKey()))) {
        persisted.put(known.getKey(), known.getValue());
        sink.write(ENDPOINT_PREFIX + known.getKey(), known.getValue().encode(), true);
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
    if (changed
        || now >= confirmationWrittenAt + CONFIRMATION_INTERVAL_DEADLINES * longestDeadline) {
      confirmationWrittenAt = now;
      sink.write(LIST_KEY, new ListConfirmation(confirmedAt, changeRate(now)).encode(), changed);
    }
  }

  /** Returns the recent fraction of the fleet that changes per tenth of a millisecond. */
  private double changeRate(long now) {
    long present = Math.max(1, countPresent());
    return recentChanges.valueAt(now) / present / (CHANGE_RATE_DECAY_DEADLINES * longestDeadline);
  }
}
