package tillerlink.peering.storage;

/**
 * A change of the store that is to be written.
 *
 * @param value null removes the name
 * @param onDurable null if the caller does not want to be notified
 */
record Change(String name, byte[] value, Runnable onDurable) {
  /** Counted for each name beside its own length and its value's. */
  private static final int OVERHEAD_BYTES = 64;

  /** What the change takes in the queue; what a name and its value take in the store. */
  int bytes() {
    return entryBytes(name, value);
  }

  static int entryBytes(String name, byte[] value) {
    return name.length() + (value == null ? 0 : value.length) + OVERHEAD_BYTES;
  }
}
