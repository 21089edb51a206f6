package tillerlink.peering.storage;

import java.util.Collections;
import java.util.NavigableMap;
import java.util.TreeMap;
import tillerlink.cluster.KeyValueStore;

/**
 * One component's part of a shared store. Each of the component's keys is stored with the
 * component's name and a slash as a prefix, which the component does not see.
 */
public final class PrefixedKeyValueStore implements KeyValueStore {
  private static final char SEPARATOR = '/';

  /** The character after the separator, for the exclusive upper bound of the key range. */
  private static final char AFTER_SEPARATOR = SEPARATOR + 1;

  private final KeyValueStore store;
  private final String prefix;
  private final NavigableMap<String, byte[]> initialEntries;

  /**
   * Creates a view of the component's part of a store.
   *
   * @param component the component's name; unique, and the same after a restart
   */
  public PrefixedKeyValueStore(KeyValueStore store, String component) {
    this.store = store;
    prefix = component + SEPARATOR;
    NavigableMap<String, byte[]> own = new TreeMap<>();
    store
        .initialEntries()
        .subMap(prefix, true, component + AFTER_SEPARATOR, false)
        .forEach((name, value) -> own.put(name.substring(prefix.length()), value));
    initialEntries = Collections.unmodifiableNavigableMap(own);
  }

  @Override
  public NavigableMap<String, byte[]> initialEntries() {
    return initialEntries;
  }

  @Override
  public boolean set(String name, byte[] value, Runnable onDurable) {
    return store.set(prefix + name, value, onDurable);
  }
}
