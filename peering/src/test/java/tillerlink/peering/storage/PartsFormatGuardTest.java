package tillerlink.peering.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.KeyValueStore;
import tillerlink.peering.channels.HostedChannels;
import tillerlink.peering.members.MembersHttpHandler;
import tillerlink.peering.statements.StatementsHttpHandler;

/** Guards the components' numbers in datagrams and their key prefixes in the store. */
class PartsFormatGuardTest {
  @Test
  void componentsKeepTheirNumbersInDatagrams() {
    assertEquals(
        List.of(1, 2, 3),
        List.of(MembersHttpHandler.NUMBER, HostedChannels.NUMBER, StatementsHttpHandler.NUMBER));
  }

  @Test
  void componentsStoreEntriesUnderTheirNames() {
    assertEquals(
        List.of("members", "channels", "statements"),
        List.of(MembersHttpHandler.NAME, HostedChannels.NAME, StatementsHttpHandler.NAME));
    NavigableMap<String, byte[]> values = new TreeMap<>();
    KeyValueStore store =
        new KeyValueStore() {
          @Override
          public NavigableMap<String, byte[]> initialEntries() {
            return values;
          }

          @Override
          public boolean set(String name, byte[] value, Runnable onDurable) {
            values.put(name, value);
            return true;
          }
        };
    for (String component :
        List.of(MembersHttpHandler.NAME, HostedChannels.NAME, StatementsHttpHandler.NAME)) {
      new PrefixedKeyValueStore(store, component).set("a/b", component.getBytes(), null);
    }
    assertEquals(Set.of("members/a/b", "channels/a/b", "statements/a/b"), values.keySet());
    assertArrayEquals(
        "channels".getBytes(),
        new PrefixedKeyValueStore(store, HostedChannels.NAME).initialEntries().get("a/b"));
    assertEquals(
        Set.of("a/b"),
        new PrefixedKeyValueStore(store, StatementsHttpHandler.NAME).initialEntries().keySet());
  }
}
