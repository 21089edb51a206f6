package tillerlink.channels;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.channels.entry.AppendResult;
import tillerlink.messages.channels.Entry;

/** This gateway's own events that are not durable yet, and the requests that wait for them. */
final class PendingAppends {
  /** Events, and requests with one key, at the most. */
  static final int MAX_PENDING = 1024;

  /** A request that waits for its event. */
  private record Waiter(AppendRequest request, Consumer<AppendResult> onResult) {}

  private final TreeMap<Long, Entry> events = new TreeMap<>();
  private final TreeMap<String, List<Waiter>> waitersByKey = new TreeMap<>();
  private long bytes;

  boolean isFull() {
    return events.size() >= MAX_PENDING;
  }

  /** About the bytes of the events. */
  long bytes() {
    return bytes;
  }

  /** No pending event has this stamp or a lower one; {@code floor} if none is pending. */
  long floor(long floor) {
    return events.isEmpty() ? floor : Math.min(floor, events.firstEntry().getValue().stamp() - 1);
  }

  private static String key(String channel, String key) {
    return channel + "/" + key;
  }

  /** The first request that waits with a key; null if none does. */
  AppendRequest waitingWith(String channel, String key) {
    List<Waiter> waiters = waitersByKey.get(key(channel, key));
    return waiters == null ? null : waiters.get(0).request;
  }

  /** Whether as many requests wait with a key as may. */
  boolean isFull(String channel, String key) {
    return waitersByKey.get(key(channel, key)).size() >= MAX_PENDING;
  }

  /** Adds a retry to the requests that wait with its key. */
  void addRetry(String channel, AppendRequest retry, Consumer<AppendResult> onResult) {
    waitersByKey.get(key(channel, retry.key())).add(new Waiter(retry, onResult));
  }

  /** Adds an event that was handed over to the store. */
  void add(Entry entry, AppendRequest request, Consumer<AppendResult> onResult) {
    events.put(entry.sequence(), entry);
    bytes += entry.weight();
    if (!entry.key().isEmpty()) {
      waitersByKey.put(
          key(entry.channel(), entry.key()),
          new ArrayList<>(List.of(new Waiter(request, onResult))));
    }
  }

  /** Removes an event that has become durable. */
  void remove(Entry entry) {
    events.remove(entry.sequence());
    bytes -= entry.weight();
  }

  /**
   * Tells all requests for a durable event its result.
   *
   * @param onResult of the request that appended it
   */
  void complete(Entry entry, Consumer<AppendResult> onResult) {
    AppendResult taken = new AppendResult.Taken(entry.dot(), false);
    List<Waiter> waiters =
        entry.key().isEmpty() ? null : waitersByKey.remove(key(entry.channel(), entry.key()));
    if (waiters == null) {
      onResult.accept(taken);
      return;
    }
    for (int i = 0; i < waiters.size(); i++) {
      AppendResult result = i == 0 ? taken : new AppendResult.Taken(entry.dot(), true);
      waiters.get(i).onResult.accept(result);
    }
  }
}
