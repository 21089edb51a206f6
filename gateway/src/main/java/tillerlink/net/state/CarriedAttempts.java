package tillerlink.net.state;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The attempts on one line-protocol connection by their ids, and the ids of those that ended on it
 * most recently. Confined to the event-loop thread.
 */
final class CarriedAttempts {
  /**
   * The number of ended attempts whose ids are remembered. A response to one of them is not a
   * protocol error, because the engine may have sent it before it received the cancel command.
   */
  private static final int MAX_RECENTLY_ENDED = 64;

  private final Map<String, InFlightAttempt> byId = new LinkedHashMap<>();
  private final Set<String> recentlyEnded = new LinkedHashSet<>();

  /** Adds an attempt that the connection carries from now on. */
  void add(InFlightAttempt inFlight) {
    byId.put(inFlight.id(), inFlight);
  }

  /**
   * Removes an attempt that has ended and remembers its id as recently ended. Does nothing if the
   * attempt is not on this connection.
   */
  void remove(InFlightAttempt inFlight) {
    if (byId.remove(inFlight.id(), inFlight)) {
      recentlyEnded.add(inFlight.id());
      if (recentlyEnded.size() > MAX_RECENTLY_ENDED) {
        recentlyEnded.remove(recentlyEnded.iterator().next());
      }
    }
  }

  /** Returns the attempt with that id, or null if the connection carries none. */
  InFlightAttempt get(String id) {
    return byId.get(id);
  }

  /** Returns whether an attempt with that id is among the last that ended on the connection. */
  boolean recentlyEnded(String id) {
    return recentlyEnded.contains(id);
  }

  /** Returns whether an attempt with that id is on the connection or has ended on it recently. */
  boolean presentOrRecentlyEnded(String id) {
    return byId.containsKey(id) || recentlyEnded.contains(id);
  }

  int size() {
    return byId.size();
  }

  boolean isEmpty() {
    return byId.isEmpty();
  }

  /**
   * Returns a view of the attempts in the order in which they were added. No attempt may be removed
   * while it is iterated over; {@link #copy} allows that.
   */
  Collection<InFlightAttempt> all() {
    return byId.values();
  }

  /** Returns a copy of {@link #all}, for iterations that may remove attempts. */
  List<InFlightAttempt> copy() {
    return List.copyOf(byId.values());
  }
}
