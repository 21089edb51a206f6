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

/** Guards the numbers of the parts in datagrams and the names under which each part keeps. */
class PartsFormatGuardTest {
  @Test
  void partsHaveTheirNumbersInDatagrams() {
    assertEquals(
        List.of(1, 2, 3),
        List.of(MembersHttpHandler.NUMBER, HostedChannels.NUMBER, StatementsHttpHandler.NUMBER));
  }

  @Test
  void partsKeepUnderTheirNames() {
    assertEquals(
        List.of("members", "channels", "statements"),
        List.of(MembersHttpHandler.NAME, HostedChannels.NAME, StatementsHttpHandler.NAME));
    NavigableMap<String, byte[]> values = new TreeMap<>();
    KeyValueStore all =
        new KeyValueStore() {
          @Override
          public NavigableMap<String, byte[]> initialEntries() {
            return values;
          }

          @Override
          public boolean set(String name, byte[] value, Runnable kept) {
            values.put(name, value);
            return true;
          }
        };
    for (String part :
        List.of(MembersHttpHandler.NAME, HostedChannels.NAME, StatementsHttpHandler.NAME)) {
      new PrefixedKeyValueStore(all, part).set("a/b", part.getBytes(), null);
    }
    assertEquals(Set.of("members/a/b", "channels/a/b", "statements/a/b"), values.keySet());
    assertArrayEquals(
        "channels".getBytes(),
        new PrefixedKeyValueStore(all, HostedChannels.NAME).initialEntries().get("a/b"));
    assertEquals(
        Set.of("a/b"),
        new PrefixedKeyValueStore(all, StatementsHttpHandler.NAME).initialEntries().keySet());
  }
}
