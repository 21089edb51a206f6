package tillerlink.simulation;

import java.util.Collections;
import java.util.NavigableMap;
import java.util.TreeMap;
import tillerlink.cluster.KeyValueStore;

/**
 * A disk in virtual time. What was handed over is in doubt until its time has passed: a crash keeps
 * a prefix of it, drawn by whoever calls {@link #crash}. The value of one process after the other:
 * {@link #reopened} is what the next one finds.
 */
public final class InMemoryKeyValueStore implements KeyValueStore {
  private record Change(String name, byte[] value) {}

  private final SimulatedFleet fleet;
  private final long takes;
  private final NavigableMap<String, byte[]> disk;
  private final NavigableMap<String, byte[]> found;
  private final java.util.ArrayDeque<Change> waiting = new java.util.ArrayDeque<>();
  private boolean dead;
  private boolean full;
  private boolean failed;

  /**
   * @param takes how long until a change is kept
   */
  public InMemoryKeyValueStore(SimulatedFleet fleet, long takes) {
    this(fleet, takes, new TreeMap<>());
  }

  private InMemoryKeyValueStore(
      SimulatedFleet fleet, long takes, NavigableMap<String, byte[]> disk) {
    this.fleet = fleet;
    this.takes = takes;
    this.disk = disk;
    found = Collections.unmodifiableNavigableMap(new TreeMap<>(disk));
  }

  @Override
  public NavigableMap<String, byte[]> initialEntries() {
    return found;
  }

  @Override
  public boolean set(String name, byte[] value, Runnable kept) {
    if (dead || full || failed) {
      return false;
    }
    waiting.add(new Change(name, value));
    fleet.at(fleet.now() + takes, () -> keep(kept));
    return true;
  }

  private void keep(Runnable kept) {
    if (dead || failed) {
      return;
    }
    apply(waiting.poll());
    if (kept != null) {
      kept.run();
    }
  }

  private void apply(Change change) {
    if (change.value == null) {
      disk.remove(change.name);
    } else {
      disk.put(change.name, change.value);
    }
  }

  /** From now on there is no room, or there is again. */
  public void full(boolean is) {
    full = is;
  }

  /** From now on nothing more is kept, and nobody is told so. */
  public void fail() {
    failed = true;
  }

  /** The process died: of what was in doubt, so many changes were written all the same. */
  public void crash(int written) {
    for (int i = 0; i < written && !waiting.isEmpty(); i++) {
      apply(waiting.poll());
    }
    dead = true;
  }

  public int pendingWrites() {
    return waiting.size();
  }

  /** A copy of what is kept now, to be put back later. */
  public NavigableMap<String, byte[]> copy() {
    return new TreeMap<>(disk);
  }

  /** What the next process finds: the disk as this one left it. */
  public InMemoryKeyValueStore reopen() {
    dead = true;
    return new InMemoryKeyValueStore(fleet, takes, disk);
  }

  /** A disk with that on it: an old copy, or an empty one. */
  public static InMemoryKeyValueStore of(
      SimulatedFleet fleet, long takes, NavigableMap<String, byte[]> contents) {
    return new InMemoryKeyValueStore(fleet, takes, new TreeMap<>(contents));
  }
}
