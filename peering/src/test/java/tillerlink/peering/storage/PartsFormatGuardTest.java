package tillerlink.peering.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Keep;
import tillerlink.peering.channels.ChannelsPart;
import tillerlink.peering.members.MembersDoor;
import tillerlink.peering.statements.StatementsDoor;

/** Guards the numbers of the parts in datagrams and the names under which each part keeps. */
class PartsFormatGuardTest {
  @Test
  void partsHaveTheirNumbersInDatagrams() {
    assertEquals(
        List.of(1, 2, 3), List.of(MembersDoor.NUMBER, ChannelsPart.NUMBER, StatementsDoor.NUMBER));
  }

  @Test
  void partsKeepUnderTheirNames() {
    assertEquals(
        List.of("members", "channels", "statements"),
        List.of(MembersDoor.NAME, ChannelsPart.NAME, StatementsDoor.NAME));
    NavigableMap<String, byte[]> values = new TreeMap<>();
    Keep all =
        new Keep() {
          @Override
          public NavigableMap<String, byte[]> found() {
            return values;
          }

          @Override
          public boolean set(String name, byte[] value, Runnable kept) {
            values.put(name, value);
            return true;
          }
        };
    for (String part : List.of(MembersDoor.NAME, ChannelsPart.NAME, StatementsDoor.NAME)) {
      new Share(all, part).set("a/b", part.getBytes(), null);
    }
    assertEquals(Set.of("members/a/b", "channels/a/b", "statements/a/b"), values.keySet());
    assertArrayEquals("channels".getBytes(), new Share(all, ChannelsPart.NAME).found().get("a/b"));
    assertEquals(Set.of("a/b"), new Share(all, StatementsDoor.NAME).found().keySet());
  }
}
