package tillerlink.peering.storage;

import java.util.Collections;
import java.util.NavigableMap;
import java.util.TreeMap;
import tillerlink.cluster.KeyValueStore;

/** One part's share of what is kept: its names stand behind a prefix, which it does not see. */
public final class PrefixedKeyValueStore implements KeyValueStore {
  private final KeyValueStore all;
  private final String prefix;
  private final NavigableMap<String, byte[]> found;

  /**
   * @param part no other part's name, and the same after a restart
   */
  public PrefixedKeyValueStore(KeyValueStore all, String part) {
    this.all = all;
    prefix = part + "/";
    NavigableMap<String, byte[]> own = new TreeMap<>();
    // '0' comes right after '/'.
    all.initialEntries()
        .subMap(prefix, true, part + "0", false)
        .forEach((name, value) -> own.put(name.substring(prefix.length()), value));
    found = Collections.unmodifiableNavigableMap(own);
  }

  @Override
  public NavigableMap<String, byte[]> initialEntries() {
    return found;
  }

  @Override
  public boolean set(String name, byte[] value, Runnable kept) {
    return all.set(prefix + name, value, kept);
  }
}
