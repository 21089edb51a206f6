package tillerlink.peering.storage;

import java.util.Collections;
import java.util.NavigableMap;
import tillerlink.cluster.KeyValueStore;

/** Where the operator named no folder: nothing is kept, and whoever asks is told so. */
public final class DisabledKeyValueStore implements KeyValueStore {
  @Override
  public NavigableMap<String, byte[]> initialEntries() {
    return Collections.emptyNavigableMap();
  }

  @Override
  public boolean set(String name, byte[] value, Runnable kept) {
    return false;
  }
}
