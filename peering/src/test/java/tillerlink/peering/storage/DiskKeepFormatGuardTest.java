package tillerlink.peering.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards the format of the shared-state store on disk: the file's name, the owner in its header,
 * the records in the order of the changes, and the prefix of each component's keys. The resource
 * was written by an earlier release and must never be regenerated. Changes are written one by one,
 * so the log is identical in each run and is compared as a whole. Other tests guard the format of
 * each component's values.
 */
class DiskKeepFormatGuardTest {
  private static final String OWNER = "gateway-a";
  private static final String LOG = "log-0000000000000001";

  /** The entries of the resource, with values in hexadecimal digits. */
  private static final Map<String, String> ENTRIES =
      Map.of(
          "alone", "6f6e65",
          "channels/empty", "",
          "channels/r\u00e4ume", "00017f80feff",
          "members/", "6e6f206e616d65",
          "members/a", "7365636f6e64",
          "members0", "6e6f742061206d656d626572");

  @TempDir private Path directory;

  private static byte[] resource() throws IOException {
    String path = "/guards/peering/" + LOG + ".bin";
    try (InputStream in = DiskKeepFormatGuardTest.class.getResourceAsStream(path)) {
      assertNotNull(in, path);
      return in.readAllBytes();
    }
  }

  private DiskKeyValueStore open(String owner) throws IOException {
    return DiskKeyValueStore.open(directory, owner, 1 << 20, Runnable::run);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static Map<String, String> toHex(NavigableMap<String, byte[]> values) {
    Map<String, String> all = new TreeMap<>();
    values.forEach((name, value) -> all.put(name, HexFormat.of().formatHex(value)));
    return all;
  }

  /** Makes the changes that the resource contains. */
  private void write() throws IOException {
    try (DiskKeyValueStore store = open(OWNER)) {
      PrefixedKeyValueStore members = new PrefixedKeyValueStore(store, "members");
      PrefixedKeyValueStore channels = new PrefixedKeyValueStore(store, "channels");
      assertTrue(members.set("a", bytes("first"), null));
      assertTrue(members.set("b", bytes("removed"), null));
      assertTrue(channels.set("empty", new byte[0], null));
      assertTrue(members.set("a", bytes("second"), null));
      assertTrue(channels.set("r\u00e4ume", HexFormat.of().parseHex("00017f80feff"), null));
      assertTrue(members.set("b", null, null));
      assertTrue(members.set("", bytes("no name"), null));
      assertTrue(store.set("members0", bytes("not a member"), null));
      assertTrue(store.set("alone", bytes("one"), null));
    }
  }

  @Test
  void readsTheStoreOfAnEarlierRelease() throws IOException {
    Files.write(directory.resolve(LOG), resource());
    try (DiskKeyValueStore store = open(OWNER)) {
      assertEquals(new TreeMap<>(ENTRIES), toHex(store.initialEntries()));
      assertEquals(
          Map.of("", "6e6f206e616d65", "a", "7365636f6e64"),
          toHex(new PrefixedKeyValueStore(store, "members").initialEntries()));
      assertEquals(
          Map.of("empty", "", "r\u00e4ume", "00017f80feff"),
          toHex(new PrefixedKeyValueStore(store, "channels").initialEntries()));
      assertEquals(
          Map.of(), toHex(new PrefixedKeyValueStore(store, "statements").initialEntries()));
    }
  }

  @Test
  void refusesTheStoreOfAnotherGateway() throws IOException {
    Files.write(directory.resolve(LOG), resource());
    assertThrows(IOException.class, () -> open("gateway-b").close());
    assertArrayEquals(resource(), Files.readAllBytes(directory.resolve(LOG)));
  }

  @Test
  void writesTheSameLogForTheSameChanges() throws IOException {
    write();
    assertArrayEquals(resource(), Files.readAllBytes(directory.resolve(LOG)));
  }
}
