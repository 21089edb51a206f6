package tillerlink.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards how the store's files look: their names, their heads, and each kind of record. The
 * resources were written by the release before the renaming and are never written anew; a store of
 * that release must be read, and the same changes must give the same bytes. The format holds no
 * time and nothing by chance, so all of it is compared. The lock file is empty and is left out.
 */
class StoreFormatGuardTest {
  private static final long OWNER = 0x0123456789abcdefL;
  private static final String FIRST_LOG = "log-0000000000000001";
  private static final String SECOND_LOG = "log-0000000000000002";
  private static final String SNAPSHOT = "snap-0000000000000006";
  private static final List<String> FILES = List.of(FIRST_LOG, SECOND_LOG, SNAPSHOT);

  /** What was there at the snapshot, the values in hexadecimal digits. */
  private static final Map<String, String> AT_SNAPSHOT =
      Map.of(
          "", "6e6f206e616d65",
          "engine/alpha", "7365636f6e64",
          "nothing", "",
          "stra\u00dfe/\u65e5\u672c", "00017f80feff0a0d",
          "z", "30");

  /** What was there at the end. */
  private static final Map<String, String> AT_END =
      Map.of(
          "engine/alpha", "7365636f6e64",
          "nothing", "736f6d657468696e67",
          "stra\u00dfe/\u65e5\u672c", "00017f80feff0a0d",
          "z", "31");

  @TempDir private Path folder;

  private static byte[] resource(String name) throws IOException {
    String path = "/guards/store/" + name + ".bin";
    try (InputStream in = StoreFormatGuardTest.class.getResourceAsStream(path)) {
      assertNotNull(in, path);
      return in.readAllBytes();
    }
  }

  private void copy(String... names) throws IOException {
    for (String name : names) {
      Files.write(folder.resolve(name), resource(name));
    }
  }

  private DurableTable table(long owner) throws IOException {
    return new DurableTable(new FileSystemDirectory(folder), owner, 1 << 20, 1 << 20);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static Map<String, String> inDigits(NavigableMap<String, byte[]> values) {
    Map<String, String> all = new TreeMap<>();
    values.forEach((key, value) -> all.put(key, HexFormat.of().formatHex(value)));
    return all;
  }

  /** The changes before the snapshot: new ones, one that replaces, an empty name and value. */
  private static List<Map.Entry<String, byte[]>> changesBeforeTheSnapshot() {
    return List.of(
        Map.entry("engine/alpha", bytes("first")),
        Map.entry("nothing", new byte[0]),
        Map.entry("stra\u00dfe/\u65e5\u672c", HexFormat.of().parseHex("00017f80feff0a0d")),
        Map.entry("engine/alpha", bytes("second")),
        Map.entry("", bytes("no name")));
  }

  /** Writes the store that the resources hold. */
  private static void write(Path folder) throws IOException {
    try (DurableTable table =
        new DurableTable(new FileSystemDirectory(folder), OWNER, 1 << 20, 1 << 20)) {
      assertEquals("NEW", table.open().state().name());
      for (Map.Entry<String, byte[]> change : changesBeforeTheSnapshot()) {
        assertTrue(table.set(change.getKey(), change.getValue()));
      }
      assertTrue(table.set("z", bytes("0")));
      assertTrue(table.sync());
      table.snapshot();
      assertTrue(table.set("", null));
      assertTrue(table.set("nothing", bytes("something")));
      assertTrue(table.set("z", bytes("1")));
      assertTrue(table.sync());
    }
  }

  private void holds(DurableTable table, Map<String, String> wanted, long sequence) {
    RecoveryReport found = table.open();
    assertEquals(List.of(), found.told());
    assertEquals("WHOLE", found.state().name());
    assertEquals(new TreeMap<>(wanted), inDigits(table.values()));
    assertEquals(sequence, table.sequence());
  }

  @Test
  void readsAStoreOfTheReleaseBefore() throws IOException {
    copy(FIRST_LOG, SECOND_LOG, SNAPSHOT);
    try (DurableTable table = table(OWNER)) {
      holds(table, AT_END, 9);
    }
  }

  @Test
  void readsTheLogsAlone() throws IOException {
    copy(FIRST_LOG, SECOND_LOG);
    try (DurableTable table = table(OWNER)) {
      holds(table, AT_END, 9);
    }
  }

  @Test
  void readsTheSnapshotAlone() throws IOException {
    copy(SNAPSHOT);
    try (DurableTable table = table(OWNER)) {
      holds(table, AT_SNAPSHOT, 6);
    }
  }

  @Test
  void refusesAStoreOfAnotherOwner() throws IOException {
    copy(FIRST_LOG, SECOND_LOG, SNAPSHOT);
    try (DurableTable table = table(OWNER + 1)) {
      assertEquals("FOREIGN", table.open().state().name());
    }
  }

  @Test
  void theSameChangesGiveTheSameFiles() throws IOException {
    write(folder);
    try (Stream<Path> files = Files.list(folder)) {
      assertEquals(
          Stream.concat(Stream.of("lock"), FILES.stream()).sorted().toList(),
          files.map(file -> file.getFileName().toString()).sorted().toList());
    }
    for (String name : FILES) {
      assertArrayEquals(resource(name), Files.readAllBytes(folder.resolve(name)), name);
    }
  }

  /** Each change is waited for: of several of one name the keeper would write only the last. */
  @Test
  void theKeeperWritesTheSameLog() throws IOException, InterruptedException {
    DurableTable table = table(OWNER);
    table.open();
    try (AsyncTableWriter keeper = new AsyncTableWriter(table, 10, 1, 1)) {
      for (Map.Entry<String, byte[]> change : changesBeforeTheSnapshot()) {
        keep(keeper, change.getKey(), change.getValue());
      }
      keep(keeper, "z", bytes("0"));
    }
    assertArrayEquals(resource(FIRST_LOG), Files.readAllBytes(folder.resolve(FIRST_LOG)));
  }

  private static void keep(AsyncTableWriter keeper, String key, byte[] value)
      throws InterruptedException {
    CountDownLatch kept = new CountDownLatch(1);
    assertTrue(keeper.set(key, value, AsyncTableWriter.Durability.AT_ONCE, kept::countDown));
    assertTrue(kept.await(60, TimeUnit.SECONDS), key);
  }

  /** The head of a log and its first record, byte by byte but for the checksums. */
  @Test
  void theFirstBytesOfALogAreThese() throws IOException {
    String digits = HexFormat.of().formatHex(resource(FIRST_LOG));
    assertEquals(
        "544c4c47" + "00000001" + "0123456789abcdef" + "0000000000000001" + "00000000",
        digits.substring(0, 56));
    assertEquals("0000001c", digits.substring(64, 72));
    assertEquals(
        "00" + "0000000000000001" + "000c" + "656e67696e652f616c706861" + "6669727374",
        digits.substring(80, 136));
  }

  /** The numbers by which records of each kind are stored. */
  @Test
  void theKindsOfRecordsAreStoredByTheseNumbers() throws IOException {
    byte[] snapshot = resource(SNAPSHOT);
    assertEquals("544c534e", HexFormat.of().formatHex(snapshot, 0, 4));
    assertEquals(0, snapshot[40], "one that sets");
    assertEquals(1, resource(SECOND_LOG)[40], "one that removes");
    assertEquals(2, snapshot[snapshot.length - 11], "the end of a snapshot");
  }
}
