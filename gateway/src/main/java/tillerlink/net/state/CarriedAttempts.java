package tillerlink.net.state;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The attempts on one line-protocol connection by their ids, and the ids of those that ended on it
 * last. Owned by the event-loop thread.
 */
final class CarriedAttempts {
  /** A response to one of the attempts that ended last crossed our command and is no fault. */
  private static final int RECENTLY_ENDED = 64;

  private final Map<String, InFlightAttempt> byId = new LinkedHashMap<>();
  private final Set<String> recentlyEnded = new LinkedHashSet<>();

  void add(InFlightAttempt inFlight) {
    byId.put(inFlight.id(), inFlight);
  }

  /** Nothing more of an attempt is expected; one that is not on the connection is ignored. */
  void remove(InFlightAttempt inFlight) {
    if (byId.remove(inFlight.id(), inFlight)) {
      recentlyEnded.add(inFlight.id());
      if (recentlyEnded.size() > RECENTLY_ENDED) {
        recentlyEnded.remove(recentlyEnded.iterator().next());
      }
    }
  }

  /** The attempt of that id, or null. */
  InFlightAttempt get(String id) {
    return byId.get(id);
  }

  boolean recentlyEnded(String id) {
    return recentlyEnded.contains(id);
  }

  /** Whether an attempt of that id is on the connection, or was until recently. */
  boolean knows(String id) {
    return byId.containsKey(id) || recentlyEnded.contains(id);
  }

  int size() {
    return byId.size();
  }

  boolean isEmpty() {
    return byId.isEmpty();
  }

  /** In the order in which they were added; for iteration that ends none of them. */
  Collection<InFlightAttempt> all() {
    return byId.values();
  }

  /** The same, for iteration that may end them. */
  List<InFlightAttempt> copy() {
    return List.copyOf(byId.values());
  }
}
