package tillerlink.statements.consensus;

import java.util.ArrayDeque;
import java.util.NavigableMap;
import tillerlink.cluster.KeyValueStore;

/**
 * A voter's durable key-value store with the actions that wait for its writes: nothing that a voter
 * promises is sent before it is durable.
 */
final class DurableState {
  private record PendingAction(long write, Runnable action) {}

  private final KeyValueStore store;
  private final boolean assumeDurable;
  private final ArrayDeque<PendingAction> pending = new ArrayDeque<>();
  private long lastWrite;
  private long durableWrite;
  private boolean failed;

  /**
   * Puts a store to use.
   *
   * @param assumeDurable an injected fault: actions wait for no write
   */
  DurableState(KeyValueStore store, boolean assumeDurable) {
    this.store = store;
    this.assumeDurable = assumeDurable;
  }

  /** What was stored when this process started. */
  NavigableMap<String, byte[]> initialEntries() {
    return store.initialEntries();
  }

  /** Hands a value to the store, null to remove it; returns the number of this write. */
  long write(String key, byte[] value) {
    long write = ++lastWrite;
    if (!failed && !store.set(key, value, () -> onDurable(write))) {
      failed = true;
    }
    if (assumeDurable) {
      durableWrite = lastWrite;
    }
    return write;
  }

  private void onDurable(long write) {
    if (failed) {
      return;
    }
    durableWrite = Math.max(durableWrite, write);
    while (!pending.isEmpty() && pending.peek().write <= durableWrite) {
      pending.poll().action.run();
    }
  }

  /** Runs the action once everything written so far is durable; never, if the store fails. */
  void whenDurable(Runnable action) {
    if (failed) {
      return;
    }
    if (durableWrite >= lastWrite) {
      action.run();
    } else {
      pending.add(new PendingAction(lastWrite, action));
    }
  }

  /** The number of the last write that is durable. */
  long durableWrite() {
    return durableWrite;
  }

  /** Whether the store refused a write: this voter sends nothing that others would rely on. */
  boolean hasFailed() {
    return failed;
  }

  /** Writes are handed to the store again; the caller writes all of the state after this. */
  void retry() {
    failed = false;
    pending.clear();
  }
}
