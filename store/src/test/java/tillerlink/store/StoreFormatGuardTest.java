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
 * Guards the format of the store's files against accidental changes: their names, headers and each
 * type of record. The resources were written by the release before the code's identifiers were
 * renamed and must not be regenerated. A store of that release must be readable, and the same
 * changes must produce the same bytes. The format contains neither times nor random values, so
 * whole files are compared. The lock file is empty and is not compared.
 */
class StoreFormatGuardTest {
  private static final long OWNER = 0x0123456789abcdefL;
  private static final String FIRST_SEGMENT = "log-0000000000000001";
  private static final String SECOND_SEGMENT = "log-0000000000000002";
  private static final String SNAPSHOT = "snap-0000000000000006";
  private static final List<String> FILES = List.of(FIRST_SEGMENT, SECOND_SEGMENT, SNAPSHOT);

  /** The entries at the time of the snapshot, with values in hexadecimal digits. */
  private static final Map<String, String> AT_SNAPSHOT =
      Map.of(
          "", "6e6f206e616d65",
          "engine/alpha", "7365636f6e64",
          "nothing", "",
          "stra\u00dfe/\u65e5\u672c", "00017f80feff0a0d",
          "z", "30");

  /** The entries after the last change, with values in hexadecimal digits. */
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

  private void copyResources(String... names) throws IOException {
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

  private static Map<String, String> inHex(NavigableMap<String, byte[]> values) {
    Map<String, String> hexValues = new TreeMap<>();
    values.forEach((key, value) -> hexValues.put(key, HexFormat.of().formatHex(value)));
    return hexValues;
  }

  /**
   * Returns the changes before the snapshot, except the last one: new keys, a replaced value, an
   * empty key and an empty value.
   */
  private static List<Map.Entry<String, byte[]>> changesBeforeTheSnapshot() {
    return List.of(
        Map.entry("engine/alpha", bytes("first")),
        Map.entry("nothing", new byte[0]),
        Map.entry("stra\u00dfe/\u65e5\u672c", HexFormat.of().parseHex("00017f80feff0a0d")),
        Map.entry("engine/alpha", bytes("second")),
        Map.entry("", bytes("no name")));
  }

  /** Writes the same store as in the resources. */
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

  private void assertRecovered(DurableTable table, Map<String, String> expected, long sequence) {
    RecoveryReport report = table.open();
    assertEquals(List.of(), report.told());
    assertEquals("WHOLE", report.state().name());
    assertEquals(new TreeMap<>(expected), inHex(table.values()));
    assertEquals(sequence, table.sequence());
  }

  @Test
  void readsAStoreOfThePreviousRelease() throws IOException {
    copyResources(FIRST_SEGMENT, SECOND_SEGMENT, SNAPSHOT);
    try (DurableTable table = table(OWNER)) {
      assertRecovered(table, AT_END, 9);
    }
  }

  @Test
  void readsSegmentsWithoutASnapshot() throws IOException {
    copyResources(FIRST_SEGMENT, SECOND_SEGMENT);
    try (DurableTable table = table(OWNER)) {
      assertRecovered(table, AT_END, 9);
    }
  }

  @Test
  void readsASnapshotWithoutSegments() throws IOException {
    copyResources(SNAPSHOT);
    try (DurableTable table = table(OWNER)) {
      assertRecovered(table, AT_SNAPSHOT, 6);
    }
  }

  @Test
  void rejectsAStoreOfAnotherOwner() throws IOException {
    copyResources(FIRST_SEGMENT, SECOND_SEGMENT, SNAPSHOT);
    try (DurableTable table = table(OWNER + 1)) {
      assertEquals("FOREIGN", table.open().state().name());
    }
  }

  @Test
  void sameChangesProduceTheSameFiles() throws IOException {
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

  /**
   * Waits for each change before the next, because the writer would write only the last of several
   * queued changes of one key.
   */
  @Test
  void asyncWriterProducesTheSameSegment() throws IOException, InterruptedException {
    DurableTable table = table(OWNER);
    table.open();
    try (AsyncTableWriter writer = new AsyncTableWriter(table, 10, 1, 1)) {
      for (Map.Entry<String, byte[]> change : changesBeforeTheSnapshot()) {
        writeAndWait(writer, change.getKey(), change.getValue());
      }
      writeAndWait(writer, "z", bytes("0"));
    }
    assertArrayEquals(resource(FIRST_SEGMENT), Files.readAllBytes(folder.resolve(FIRST_SEGMENT)));
  }

  private static void writeAndWait(AsyncTableWriter writer, String key, byte[] value)
      throws InterruptedException {
    CountDownLatch durable = new CountDownLatch(1);
    assertTrue(writer.set(key, value, AsyncTableWriter.Durability.AT_ONCE, durable::countDown));
    assertTrue(durable.await(60, TimeUnit.SECONDS), key);
  }

  /** Compares the header of a segment and its first record, except for the checksums. */
  @Test
  void segmentHeaderAndFirstRecordAreUnchanged() throws IOException {
    String hex = HexFormat.of().formatHex(resource(FIRST_SEGMENT));
    assertEquals(
        "544c4c47" + "00000001" + "0123456789abcdef" + "0000000000000001" + "00000000",
        hex.substring(0, 56));
    assertEquals("0000001c", hex.substring(64, 72));
    assertEquals(
        "00" + "0000000000000001" + "000c" + "656e67696e652f616c706861" + "6669727374",
        hex.substring(80, 136));
  }

  /** Compares the stored code of each record type. */
  @Test
  void recordTypeCodesAreUnchanged() throws IOException {
    byte[] snapshot = resource(SNAPSHOT);
    assertEquals("544c534e", HexFormat.of().formatHex(snapshot, 0, 4));
    assertEquals(0, snapshot[40], "code of PUT");
    assertEquals(1, resource(SECOND_SEGMENT)[40], "code of REMOVE");
    assertEquals(2, snapshot[snapshot.length - 11], "code of SNAPSHOT_END");
  }
}
