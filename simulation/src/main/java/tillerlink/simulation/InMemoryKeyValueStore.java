package tillerlink.simulation;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.NavigableMap;
import java.util.Queue;
import java.util.TreeMap;
import tillerlink.cluster.KeyValueStore;

/**
 * A key-value store on a simulated disk, in virtual time. A change is pending until the write time
 * has passed. A crash persists only the oldest of the pending changes, as many as the caller of
 * {@link #crash} chooses. An instance serves a single process; {@link #reopen} returns the store
 * for the process that follows it on the same disk.
 */
public final class InMemoryKeyValueStore implements KeyValueStore {
  /** A pending change of an entry; a null value removes the entry. */
  private record Change(String name, byte[] value) {}

  private final SimulatedFleet fleet;
  private final long writeTime;
  private final NavigableMap<String, byte[]> disk;
  private final NavigableMap<String, byte[]> initialEntries;
  private final Queue<Change> pending = new ArrayDeque<>();
  private boolean closed;
  private boolean full;
  private boolean failed;

  /**
   * Creates an empty store.
   *
   * @param fleet the simulated fleet whose virtual time is used
   * @param writeTime the time from a change until it is persisted, in tenths of a millisecond
   */
  public InMemoryKeyValueStore(SimulatedFleet fleet, long writeTime) {
    this(fleet, writeTime, new TreeMap<>());
  }

  private InMemoryKeyValueStore(
      SimulatedFleet fleet, long writeTime, NavigableMap<String, byte[]> disk) {
    this.fleet = fleet;
    this.writeTime = writeTime;
    this.disk = disk;
    initialEntries = Collections.unmodifiableNavigableMap(new TreeMap<>(disk));
  }

  @Override
  public NavigableMap<String, byte[]> initialEntries() {
    return initialEntries;
  }

  @Override
  public boolean set(String name, byte[] value, Runnable onPersisted) {
    if (closed || full || failed) {
      return false;
    }
    pending.add(new Change(name, value));
    fleet.at(fleet.now() + writeTime, () -> persistNext(onPersisted));
    return true;
  }

  private void persistNext(Runnable onPersisted) {
    if (closed || failed) {
      return;
    }
    apply(pending.poll());
    if (onPersisted != null) {
      onPersisted.run();
    }
  }

  private void apply(Change change) {
    if (change.value == null) {
      disk.remove(change.name);
    } else {
      disk.put(change.name, change.value);
    }
  }

  /** Sets whether the disk is full; {@link #set} rejects all changes while it is. */
  public void full(boolean isFull) {
    full = isFull;
  }

  /**
   * Makes the disk fail permanently. From now on, changes are rejected, pending changes are not
   * persisted, and their callbacks are not run.
   */
  public void fail() {
    failed = true;
  }

  /**
   * Simulates a crash of the process, which closes the store without running any callback.
   *
   * @param persisted how many of the pending changes still reach the disk, starting with the oldest
   */
  public void crash(int persisted) {
    for (int i = 0; i < persisted && !pending.isEmpty(); i++) {
      apply(pending.poll());
    }
    closed = true;
  }

  /** Returns the number of changes that are accepted but not yet persisted. */
  public int pendingWrites() {
    return pending.size();
  }

  /** Returns a copy of the persisted entries, which {@link #of} can restore later. */
  public NavigableMap<String, byte[]> copy() {
    return new TreeMap<>(disk);
  }

  /** Closes this store and returns a store on the same disk for the next process. */
  public InMemoryKeyValueStore reopen() {
    closed = true;
    return new InMemoryKeyValueStore(fleet, writeTime, disk);
  }

  /**
   * Creates a store with the given entries.
   *
   * @param fleet the simulated fleet whose virtual time is used
   * @param writeTime the time from a change until it is persisted, in tenths of a millisecond
   * @param contents the persisted entries, such as an earlier {@link #copy}
   */
  public static InMemoryKeyValueStore of(
      SimulatedFleet fleet, long writeTime, NavigableMap<String, byte[]> contents) {
    return new InMemoryKeyValueStore(fleet, writeTime, new TreeMap<>(contents));
  }
}
