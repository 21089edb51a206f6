package tillerlink.cluster;

import java.util.NavigableMap;

/**
 * What outlives the process: a table of small values under names. Nobody who hands over a change
 * waits for the disk.
 */
public interface KeyValueStore {
  /** No value is longer. */
  int MAX_VALUE_BYTES = 1 << 20;

  /** What was kept when this process started; empty after a lost disk. */
  NavigableMap<String, byte[]> initialEntries();

  /**
   * Hands over a change. Of several of one name that wait, the last is written. Changes handed over
   * before are kept no later than this one.
   *
   * @param value null removes the name
   * @param kept run in a later turn of the thread that owns all state, once it surely outlives a
   *     crash; null if nobody asks. It is never run if the disk fails.
   * @return false if there is no room, or the disk has failed: then it is not kept
   */
  boolean set(String name, byte[] value, Runnable kept);
}
