package tillerlink.cluster;

import java.util.NavigableMap;

/**
 * A persistent key-value store for small values, keyed by name. Writes are asynchronous: callers
 * never wait for the disk. All methods are called on the gateway's event loop.
 */
public interface KeyValueStore {
  /** Maximum length of a value, in bytes. */
  int MAX_VALUE_BYTES = 1 << 20;

  /**
   * Returns the entries that were persisted when this process started; empty if the disk was lost.
   */
  NavigableMap<String, byte[]> initialEntries();

  /**
   * Submits a change to an entry. If several changes to one entry are pending, only the last of
   * them is written. A change is persisted no later than the changes submitted after it.
   *
   * @param name the name of the entry
   * @param value the new value; null removes the entry
   * @param onPersisted run in a later event-loop iteration, once the change would survive a crash;
   *     null if the caller does not need the notification. It is never run if the disk fails.
   * @return false if the change was rejected because the quota is exhausted or the disk has failed
   */
  boolean set(String name, byte[] value, Runnable onPersisted);
}
