package tillerlink.peering.storage;

import java.util.Collections;
import java.util.NavigableMap;
import tillerlink.cluster.KeyValueStore;

/** An empty store that refuses every change, for gateways without a configured directory. */
public final class DisabledKeyValueStore implements KeyValueStore {
  @Override
  public NavigableMap<String, byte[]> initialEntries() {
    return Collections.emptyNavigableMap();
  }

  @Override
  public boolean set(String name, byte[] value, Runnable onDurable) {
    return false;
  }
}
