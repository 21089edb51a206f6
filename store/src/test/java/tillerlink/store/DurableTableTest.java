package tillerlink.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** After any crash the table is as it was at some moment, with everything acknowledged in it. */
class DurableTableTest {
  private static final long OWNER = 77;

  private static DurableTable table(StorageDirectory disk) {
    return new DurableTable(disk, OWNER, 400, 10_000);
  }

  private static Map<String, String> print(DurableTable table) {
    Map<String, String> all = new TreeMap<>();
    table.values().forEach((key, value) -> all.put(key, new String(value, StandardCharsets.UTF_8)));
    return all;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Random changes to a table: its state after each, and the last sequence acknowledged. */
  private static final class History {
    private final List<Map<String, String>> states = new ArrayList<>(List.of(new TreeMap<>()));
    private long acknowledged;

    void apply(DurableTable table, Random random, int changes) {
      for (int i = 0; i < changes; i++) {
        String key = "k" + random.nextInt(8);
        boolean remove = random.nextInt(4) == 0 && table.values().containsKey(key);
        Map<String, String> next = new TreeMap<>(states.get(states.size() - 1));
        if (remove) {
          next.remove(key);
        } else {
          next.put(key, "v" + random.nextInt(1000));
        }
        states.add(next);
        if (!table.set(key, remove ? null : bytes(next.get(key)))) {
          return;
        }
        if (random.nextInt(3) == 0 && table.sync()) {
          acknowledged = table.sequence();
        }
      }
    }
  }

  /**
   * Crashes at one operation, perhaps again during recovery, and checks what is recovered.
   *
   * @return what is wrong, empty if nothing is; null if the history ended before the crash
   */
  private static String crashAndRecover(long seed, long point, boolean ignoreSyncs) {
    Random random = new Random(seed);
    Random after = new Random(seed * 31 + point);
    CrashingDirectory disk = new CrashingDirectory().crashAt(point);
    if (ignoreSyncs) {
      disk.ignoreSyncs();
    }
    History history = new History();
    DurableTable table = table(disk);
    try {
      table.open();
      history.apply(table, random, 40);
      return null;
    } catch (CrashingDirectory.Crash e) {
      // Expected.
    }
    CrashingDirectory afterCrash = disk.afterCrash(after);
    if (after.nextInt(4) == 0) {
      try {
        table(afterCrash.crashAt(after.nextInt(6))).open();
      } catch (CrashingDirectory.Crash e) {
        // A crash during recovery.
      }
      afterCrash = afterCrash.afterCrash(after);
    }
    DurableTable recovered = table(afterCrash);
    RecoveryReport report = recovered.open();
    if (!report.usable()) {
      return "not usable: " + report;
    }
    long at = recovered.sequence();
    if (at < history.acknowledged || at >= history.states.size()) {
      return "at "
          + at
          + " where "
          + history.acknowledged
          + " to "
          + (history.states.size() - 1)
          + " were possible";
    }
    if (!print(recovered).equals(history.states.get((int) at))) {
      return "at " + at + " it holds " + print(recovered) + ", not " + history.states.get((int) at);
    }
    return recovered.set("again", bytes("x")) && recovered.sync() ? "" : "it can't be written to";
  }

  @Test
  void recoversFromACrashAtAnyOperation() {
    int points = 0;
    for (int seed = 0; points < 50_000; seed++) {
      for (long point = 0; ; point++) {
        String wrong = crashAndRecover(seed, point, false);
        if (wrong == null) {
          break;
        }
        assertEquals("", wrong, "seed " + seed + ", crash at " + point);
        points++;
      }
    }
  }

  @Test
  void crashTestDetectsAMissingSync() {
    int wrong = 0;
    for (int seed = 0; seed < 5; seed++) {
      for (long point = 0; point < 60; point++) {
        String what = crashAndRecover(seed, point, true);
        wrong += what != null && !what.isEmpty() ? 1 : 0;
      }
    }
    assertTrue(wrong > 0);
  }

  /**
   * The disk fails once or for good; what was acknowledged is there, and nothing else is promised.
   */
  @Test
  void acknowledgedChangesSurviveDiskFaults() throws IOException {
    int failed = 0;
    for (int seed = 0; seed < 300; seed++) {
      Random random = new Random(seed);
      CrashingDirectory disk =
          new CrashingDirectory().faults(4 + random.nextInt(60), random.nextBoolean() ? 1 : 1000);
      History history = new History();
      DurableTable table = table(disk);
      table.open();
      history.apply(table, random, 40);
      failed += table.hasFailed() ? 1 : 0;
      DurableTable recovered = table(disk.afterCrash(random));
      assertTrue(recovered.open().usable());
      long at = recovered.sequence();
      assertTrue(
          at >= history.acknowledged,
          "seed " + seed + ": at " + at + ", acknowledged " + history.acknowledged);
      assertEquals(history.states.get((int) at), print(recovered), "seed " + seed);
    }
    assertTrue(failed > 0);
  }

  private static CrashingDirectory written(int changes) {
    CrashingDirectory disk = new CrashingDirectory();
    DurableTable table = new DurableTable(disk, OWNER, 200, 10_000);
    table.open();
    for (int i = 0; i < changes; i++) {
      table.set("k" + i % 4, bytes("value " + i));
      table.sync();
    }
    return disk;
  }

  private static String last(CrashingDirectory disk, String prefix) {
    return disk.list().stream()
        .filter(name -> name.startsWith(prefix))
        .reduce((a, b) -> b)
        .orElseThrow();
  }

  private static String recover(CrashingDirectory disk) {
    RecoveryReport report = new DurableTable(disk, OWNER, 200, 10_000).open();
    return report.state() + " " + report.told();
  }

  @Test
  void anEmptyDirectoryIsANewStore() {
    assertEquals("NEW []", recover(new CrashingDirectory()));
  }

  @Test
  void anIntactStoreIsReadWhole() {
    assertEquals("WHOLE []", recover(written(21)));
  }

  @Test
  void aTornTailIsTruncated() throws IOException {
    CrashingDirectory torn = written(21);
    String tail = last(torn, FileFormat.SEGMENT_PREFIX);
    torn.truncate(tail, torn.read(tail, 1 << 20).length - 3);
    assertEquals(
        "CUT [log-0000000000000004: truncated an invalid tail of 26 bytes]", recover(torn));
  }

  @Test
  void aCorruptSnapshotIsReplacedByTheOneBefore() {
    CrashingDirectory corrupt = written(21);
    String newest = last(corrupt, FileFormat.SNAPSHOT_PREFIX);
    corrupt.corrupt(newest, 40);
    assertEquals("CUT [" + newest + " is corrupt or incomplete; quarantined]", recover(corrupt));
    DurableTable older = new DurableTable(corrupt.copy(), OWNER, 200, 10_000);
    older.open();
    assertEquals(21, older.sequence(), "the older snapshot and the log behind it tell all");
  }

  @Test
  void aSegmentIsCutAtItsFirstCorruptRecord() {
    CrashingDirectory middle = new CrashingDirectory();
    DurableTable table = new DurableTable(middle, OWNER, 100_000, 10_000);
    table.open();
    for (int i = 0; i < 10; i++) {
      table.set("k" + i, bytes("v"));
    }
    table.sync();
    middle.corrupt("log-0000000000000001", FileFormat.HEADER_BYTES + 22 * 4 + 15);
    DurableTable cut = new DurableTable(middle, OWNER, 100_000, 10_000);
    assertEquals(
        "[log-0000000000000001: truncated an invalid tail of 132 bytes]",
        cut.open().told().toString());
    assertEquals(4, cut.sequence());
  }

  @Test
  void segmentsAfterAMissingOneAreSetAside() throws IOException {
    CrashingDirectory gap = new CrashingDirectory();
    for (int i = 0; i < 3; i++) {
      DurableTable table = new DurableTable(gap, OWNER, 100_000, 10_000);
      table.open();
      table.set("k" + i, bytes("v"));
      table.sync();
    }
    gap.delete("log-0000000000000002");
    assertEquals(
        "CUT [log-0000000000000003: found sequence 3, expected 2; quarantined with all later"
            + " segments]",
        recover(gap));
    assertTrue(gap.list().contains("aside-log-0000000000000003"));
  }

  @Test
  void aSnapshotWithoutSegmentsIsEnough() throws IOException {
    CrashingDirectory noLog = written(21);
    for (String name : noLog.list()) {
      if (name.startsWith(FileFormat.SEGMENT_PREFIX)) {
        noLog.delete(name);
      }
    }
    assertEquals("WHOLE []", recover(noLog), "a snapshot alone is newer than any log, and enough");
  }

  @Test
  void foreignOrLockedStoresAreNotTouched() throws IOException {
    CrashingDirectory disk = written(3);
    List<String> before = disk.list();
    RecoveryReport foreign = new DurableTable(disk, OWNER + 1, 200, 10_000).open();
    assertEquals(
        "FOREIGN [log-0000000000000001 belongs to another store: owner 77, expected 78]",
        foreign.state() + " " + foreign.told());
    StorageDirectory.AppendOnlyFile later = disk.create("snap-00000000000000ff");
    later.write(FileFormat.encodeHeader(new FileFormat.Header(true, 9, OWNER, 255)));
    assertEquals(
        "FOREIGN [snap-00000000000000ff has format version 9; this release supports versions up to"
            + " 1]",
        recover(disk));
    disk.delete("snap-00000000000000ff");
    assertEquals(before, disk.list());
    disk.locked = true;
    DurableTable locked = new DurableTable(disk, OWNER, 200, 10_000);
    assertEquals(RecoveryReport.State.LOCKED, locked.open().state());
    assertFalse(locked.set("a", bytes("b")));
  }

  @Test
  void tableAndDiskUsageAreBounded() throws IOException {
    CrashingDirectory disk = new CrashingDirectory();
    DurableTable table = new DurableTable(disk, OWNER, 2000, 1000);
    table.open();
    int refused = 0;
    for (int i = 0; i < 100; i++) {
      refused += table.set("key " + i, new byte[40]) ? 0 : 1;
    }
    assertTrue(refused > 80);
    for (int i = 0; i < 5000; i++) {
      assertTrue(table.set("key 1", new byte[40]));
      assertTrue(table.sync());
    }
    int bytes = 0;
    for (String name : disk.list()) {
      bytes += disk.read(name, 1 << 20).length;
    }
    assertTrue(bytes < 12_000, bytes + " bytes in " + disk.list());
  }

  /** A real process on a real file system, killed while it writes. */
  @Test
  void aKilledProcessLosesNothingAcknowledged(@TempDir Path folder, @TempDir Path outside)
      throws Exception {
    Random random = new Random(5);
    long before = 0;
    for (int i = 0; i < 25; i++) {
      Path log = Files.createTempFile(outside, "acknowledged", "");
      Process writer =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-XX:TieredStopAtLevel=1",
                  "-XX:+UseSerialGC",
                  "-cp",
                  System.getProperty("java.class.path"),
                  Writer.class.getName(),
                  folder.toString())
              .redirectErrorStream(true)
              .redirectOutput(log.toFile())
              .start();
      int wanted = 20 + random.nextInt(2000);
      for (int j = 0; j < 2000 && Files.size(log) < wanted && writer.isAlive(); j++) {
        Thread.sleep(5);
      }
      writer.destroyForcibly().waitFor();
      String all = Files.readString(log);
      String[] lines = all.substring(0, all.lastIndexOf('\n')).split("\n", -1);
      long found = Long.parseLong(lines[0]);
      assertTrue(found >= before, "found " + found + " after " + before + " was acknowledged");
      before = Long.parseLong(lines[lines.length - 1]);
    }
    try (DurableTable table =
        new DurableTable(new FileSystemDirectory(folder), OWNER, 4000, 10_000)) {
      assertTrue(table.open().usable());
      assertTrue(table.sequence() >= before);
      assertEquals(
          RecoveryReport.State.LOCKED,
          new DurableTable(new FileSystemDirectory(folder), OWNER, 4000, 10_000).open().state());
    }
    try (var files = Files.list(folder)) {
      assertTrue(files.count() < 12);
    }
  }

  /** Writes until it is killed, and prints each acknowledged sequence. */
  static final class Writer {
    private Writer() {}

    public static void main(String[] args) throws IOException {
      DurableTable table =
          new DurableTable(new FileSystemDirectory(Path.of(args[0])), OWNER, 4000, 10_000);
      RecoveryReport report = table.open();
      if (!report.usable()) {
        System.out.println("-1 " + report);
        return;
      }
      System.out.println(table.sequence());
      while (table.set("k" + table.sequence() % 10, new byte[20]) && table.sync()) {
        System.out.println(table.sequence());
      }
    }
  }
}
