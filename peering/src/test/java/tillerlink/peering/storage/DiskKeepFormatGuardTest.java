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
 * Guards how what gateways share is kept on disk: the file's name, the owner in its head, the
 * records in the order in which they were handed over, and the prefix before each part's names. The
 * resource was written by the release before the renaming and is never written anew. All changes
 * are written one by one, so the log is the same each time and is compared whole. What each part
 * writes as a value is guarded elsewhere.
 */
class DiskKeepFormatGuardTest {
  private static final String OWNER = "gateway-a";
  private static final String LOG = "log-0000000000000001";

  /** The values in hexadecimal digits. */
  private static final Map<String, String> ALL =
      Map.of(
          "alone", "6f6e65",
          "channels/empty", "",
          "channels/r\u00e4ume", "00017f80feff",
          "members/", "6e6f206e616d65",
          "members/a", "7365636f6e64",
          "members0", "6e6f742061206d656d626572");

  @TempDir private Path folder;

  private static byte[] resource() throws IOException {
    String path = "/guards/peering/" + LOG + ".bin";
    try (InputStream in = DiskKeepFormatGuardTest.class.getResourceAsStream(path)) {
      assertNotNull(in, path);
      return in.readAllBytes();
    }
  }

  private DiskKeyValueStore open(String owner) throws IOException {
    return DiskKeyValueStore.open(folder, owner, 1 << 20, Runnable::run);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static Map<String, String> inDigits(NavigableMap<String, byte[]> values) {
    Map<String, String> all = new TreeMap<>();
    values.forEach((name, value) -> all.put(name, HexFormat.of().formatHex(value)));
    return all;
  }

  /** Writes what the resource holds. */
  private void write() throws IOException {
    try (DiskKeyValueStore keep = open(OWNER)) {
      PrefixedKeyValueStore members = new PrefixedKeyValueStore(keep, "members");
      PrefixedKeyValueStore channels = new PrefixedKeyValueStore(keep, "channels");
      assertTrue(members.set("a", bytes("first"), null));
      assertTrue(members.set("b", bytes("removed"), null));
      assertTrue(channels.set("empty", new byte[0], null));
      assertTrue(members.set("a", bytes("second"), null));
      assertTrue(channels.set("r\u00e4ume", HexFormat.of().parseHex("00017f80feff"), null));
      assertTrue(members.set("b", null, null));
      assertTrue(members.set("", bytes("no name"), null));
      assertTrue(keep.set("members0", bytes("not a member"), null));
      assertTrue(keep.set("alone", bytes("one"), null));
    }
  }

  @Test
  void readsWhatTheReleaseBeforeKept() throws IOException {
    Files.write(folder.resolve(LOG), resource());
    try (DiskKeyValueStore keep = open(OWNER)) {
      assertEquals(new TreeMap<>(ALL), inDigits(keep.initialEntries()));
      assertEquals(
          Map.of("", "6e6f206e616d65", "a", "7365636f6e64"),
          inDigits(new PrefixedKeyValueStore(keep, "members").initialEntries()));
      assertEquals(
          Map.of("empty", "", "r\u00e4ume", "00017f80feff"),
          inDigits(new PrefixedKeyValueStore(keep, "channels").initialEntries()));
      assertEquals(
          Map.of(), inDigits(new PrefixedKeyValueStore(keep, "statements").initialEntries()));
    }
  }

  @Test
  void refusesWhatAnotherKept() throws IOException {
    Files.write(folder.resolve(LOG), resource());
    assertThrows(IOException.class, () -> open("gateway-b").close());
    assertArrayEquals(resource(), Files.readAllBytes(folder.resolve(LOG)));
  }

  @Test
  void theSameChangesGiveTheSameLog() throws IOException {
    write();
    assertArrayEquals(resource(), Files.readAllBytes(folder.resolve(LOG)));
  }
}
