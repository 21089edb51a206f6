package tillerlink.cluster;

import java.util.NavigableMap;

/**
 * A persistent table of small values under names. Writes are asynchronous: no caller waits for the
 * disk. All methods are called on the gateway's event loop.
 */
public interface KeyValueStore {
  /** The longest value, in bytes. */
  int MAX_VALUE_BYTES = 1 << 20;

  /** The entries that were persisted when this process started; empty if the disk was lost. */
  NavigableMap<String, byte[]> initialEntries();

  /**
   * Hands over a change. If several changes of one name are pending, only the last of them is
   * written. A change is persisted no later than those handed over after it.
   *
   * @param name the name of the entry
   * @param value its new value; null removes the entry
   * @param onPersisted run in a later iteration of the event loop, once the change survives a
   *     crash; null if the caller does not need to know. It is never run if the disk fails.
   * @return false if the change was not accepted, because the quota is exhausted or the disk has
   *     failed
   */
  boolean set(String name, byte[] value, Runnable onPersisted);
}
