package tillerlink.peering.storage;

/**
 * A change of the store that is queued for writing.
 *
 * @param name the key of the entry
 * @param value the new value, or null to remove the entry
 * @param onDurable run when the change is durable; null for no notification
 */
record Change(String name, byte[] value, Runnable onDurable) {
  /** The overhead that is counted for each entry in addition to its name and its value. */
  private static final int OVERHEAD_BYTES = 64;

  /** Returns the bytes that the change counts for in the queue and its entry in the store. */
  int bytes() {
    return entryBytes(name, value);
  }

  static int entryBytes(String name, byte[] value) {
    return name.length() + (value == null ? 0 : value.length) + OVERHEAD_BYTES;
  }
}
