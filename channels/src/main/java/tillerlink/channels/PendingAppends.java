package tillerlink.channels;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.channels.entry.AppendResult;
import tillerlink.messages.channels.Entry;

/** The events written by this gateway that are not durable yet, with the requests awaiting them. */
final class PendingAppends {
  /** The maximum number of pending events, and of requests that wait with the same key. */
  static final int MAX_PENDING = 1024;

  /** A request that waits until its event is durable. */
  private record Waiter(AppendRequest request, Consumer<AppendResult> onResult) {}

  private final TreeMap<Long, Entry> events = new TreeMap<>();
  private final TreeMap<String, List<Waiter>> waitersByKey = new TreeMap<>();
  private long bytes;

  /** Returns whether the maximum number of events is pending. */
  boolean isFull() {
    return events.size() >= MAX_PENDING;
  }

  /** Returns the approximate size of the pending events, in bytes. */
  long bytes() {
    return bytes;
  }

  /**
   * Returns the highest stamp, {@code floor} at most, that is lower than those of all pending
   * events; {@code floor} if no event is pending.
   */
  long floor(long floor) {
    return events.isEmpty() ? floor : Math.min(floor, events.firstEntry().getValue().stamp() - 1);
  }

  private static String waiterKey(String channel, String key) {
    return channel + "/" + key;
  }

  /** Returns the first of the requests that wait with a key; null if there are none. */
  AppendRequest waitingWith(String channel, String key) {
    List<Waiter> waiters = waitersByKey.get(waiterKey(channel, key));
    return waiters == null ? null : waiters.get(0).request;
  }

  /**
   * Returns whether the maximum number of requests waits with a key. At least one must be waiting
   * with it.
   */
  boolean isFull(String channel, String key) {
    return waitersByKey.get(waiterKey(channel, key)).size() >= MAX_PENDING;
  }

  /**
   * Adds a retry to the requests that wait with its key. At least one must be waiting with it.
   *
   * @param onResult receives the retry's result once the event is durable
   */
  void addRetry(String channel, AppendRequest retry, Consumer<AppendResult> onResult) {
    waitersByKey.get(waiterKey(channel, retry.key())).add(new Waiter(retry, onResult));
  }

  /**
   * Adds an event whose write to the store was started.
   *
   * @param onResult receives the request's result once the event is durable
   */
  void add(Entry entry, AppendRequest request, Consumer<AppendResult> onResult) {
    events.put(entry.sequence(), entry);
    bytes += entry.weight();
    if (!entry.key().isEmpty()) {
      waitersByKey.put(
          waiterKey(entry.channel(), entry.key()),
          new ArrayList<>(List.of(new Waiter(request, onResult))));
    }
  }

  /** Removes an event that has become durable. */
  void remove(Entry entry) {
    events.remove(entry.sequence());
    bytes -= entry.weight();
  }

  /**
   * Passes the result for a durable event to all requests that wait for it. All but the first are
   * retries, and their results say so.
   *
   * @param onResult the callback of the request that appended the event
   */
  void complete(Entry entry, Consumer<AppendResult> onResult) {
    AppendResult appended = new AppendResult.Taken(entry.dot(), false);
    List<Waiter> waiters =
        entry.key().isEmpty() ? null : waitersByKey.remove(waiterKey(entry.channel(), entry.key()));
    if (waiters == null) {
      onResult.accept(appended);
      return;
    }
    for (int i = 0; i < waiters.size(); i++) {
      AppendResult result = i == 0 ? appended : new AppendResult.Taken(entry.dot(), true);
      waiters.get(i).onResult.accept(result);
    }
  }
}
