package tillerlink.simulation;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.NavigableMap;
import java.util.Queue;
import java.util.TreeMap;
import tillerlink.cluster.KeyValueStore;

/**
 * A simulated disk in virtual time. A change is pending until the write time has passed; a crash
 * persists a prefix of the pending changes, whose length the caller of {@link #crash} draws. One
 * instance serves one process; {@link #reopen} gives the store that its successor opens.
 */
public final class InMemoryKeyValueStore implements KeyValueStore {
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
   * Makes an empty store.
   *
   * @param fleet whose virtual time is used
   * @param writeTime tenths of a millisecond until a change is persisted
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

  /** Sets whether the disk is full; a full disk accepts no change. */
  public void full(boolean nowFull) {
    full = nowFull;
  }

  /** The disk fails: nothing more is persisted, and nobody is notified. */
  public void fail() {
    failed = true;
  }

  /**
   * The process crashes.
   *
   * @param persisted how many of the pending changes reached the disk nevertheless, in their order
   */
  public void crash(int persisted) {
    for (int i = 0; i < persisted && !pending.isEmpty(); i++) {
      apply(pending.poll());
    }
    closed = true;
  }

  /** How many changes are accepted but not yet persisted. */
  public int pendingWrites() {
    return pending.size();
  }

  /** A copy of what is persisted now, to be restored later. */
  public NavigableMap<String, byte[]> copy() {
    return new TreeMap<>(disk);
  }

  /** Closes this store and opens the same disk for the next process. */
  public InMemoryKeyValueStore reopen() {
    closed = true;
    return new InMemoryKeyValueStore(fleet, writeTime, disk);
  }

  /** A store with the given contents, such as an old {@link #copy}. */
  public static InMemoryKeyValueStore of(
      SimulatedFleet fleet, long writeTime, NavigableMap<String, byte[]> contents) {
    return new InMemoryKeyValueStore(fleet, writeTime, new TreeMap<>(contents));
  }
}
