package tillerlink.statements.consensus;

import java.util.ArrayDeque;
import java.util.NavigableMap;
import tillerlink.cluster.KeyValueStore;

/**
 * The durable key-value store of a voter, and the actions that wait until its writes are durable.
 * Messages that other voters rely on are sent from such actions, so that a voter never sends a
 * promise that a crash could undo.
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
   * Creates the durable state of a voter on top of a store.
   *
   * @param assumeDurable whether every write counts as durable at once, an injected fault
   */
  DurableState(KeyValueStore store, boolean assumeDurable) {
    this.store = store;
    this.assumeDurable = assumeDurable;
  }

  /** Returns the entries that were stored when this process started. */
  NavigableMap<String, byte[]> initialEntries() {
    return store.initialEntries();
  }

  /**
   * Passes a write to the store without waiting for it.
   *
   * @param value the new value; null removes the key
   * @return the number of this write; numbers increase from 1
   */
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

  /** Runs the action once all writes so far are durable; drops it if the store has failed. */
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

  /** Returns the number of the last durable write; 0 if no write is durable yet. */
  long durableWrite() {
    return durableWrite;
  }

  /**
   * Returns whether the store rejected a write. Until {@link #resumeWrites} is called, this voter
   * sends nothing that others rely on.
   */
  boolean hasFailed() {
    return failed;
  }

  /**
   * Resumes writing after a failure and drops the actions that were waiting. The caller has to
   * write the whole state again afterwards, because writes since the failure were not stored.
   */
  void resumeWrites() {
    failed = false;
    pending.clear();
  }
}
