package tillerlink.store;

import java.util.Collections;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The in-memory entries of a table, their total size and the sequence of the last change. */
final class TableState {
  private final NavigableMap<String, byte[]> values = new TreeMap<>();
  private final NavigableMap<String, byte[]> unmodifiableValues =
      Collections.unmodifiableNavigableMap(values);
  private long bytes;
  private long sequence;

  NavigableMap<String, byte[]> values() {
    return unmodifiableValues;
  }

  long sequence() {
    return sequence;
  }

  /**
   * Returns the total size that the entries would have after a change, including the record
   * overhead of each entry. Keys count by their characters, so the size on disk is larger if keys
   * contain non-ASCII characters.
   *
   * @param value the new value; null removes the key
   */
  long bytesWith(String key, byte[] value) {
    return bytes + entryBytes(key, value) - entryBytes(key, values.get(key));
  }

  /**
   * Applies the next change.
   *
   * @param changeSequence the sequence of the change
   * @param value the new value; null removes the key
   */
  void apply(long changeSequence, String key, byte[] value) {
    byte[] previous = value == null ? values.remove(key) : values.put(key, value);
    bytes += entryBytes(key, value) - entryBytes(key, previous);
    sequence = changeSequence;
  }

  /**
   * Loads the entries of a snapshot into the empty table.
   *
   * @param snapshotSequence the sequence of the last change in the snapshot
   */
  void load(long snapshotSequence, Map<String, byte[]> entries) {
    entries.forEach((key, value) -> apply(snapshotSequence, key, value));
    sequence = snapshotSequence;
  }

  private static long entryBytes(String key, byte[] value) {
    return value == null ? 0 : key.length() + value.length + FileFormat.RECORD_OVERHEAD_BYTES;
  }
}
