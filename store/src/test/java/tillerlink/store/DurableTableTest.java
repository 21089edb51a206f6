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

/**
 * Tests that after any crash the recovered table equals the table after some change, and that this
 * change is not earlier than the last one acknowledged by a sync.
 */
class DurableTableTest {
  private static final long OWNER = 77;

  private static DurableTable table(StorageDirectory disk) {
    return new DurableTable(disk, OWNER, 400, 10_000);
  }

  private static Map<String, String> contents(DurableTable table) {
    Map<String, String> entries = new TreeMap<>();
    table
        .values()
        .forEach((key, value) -> entries.put(key, new String(value, StandardCharsets.UTF_8)));
    return entries;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Random changes to a table, with its state after each and the last acknowledged sequence. */
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
   * Crashes at one operation, in a quarter of the cases again during recovery, and checks the
   * recovered table.
   *
   * @param point the number of operations before the crash
   * @param ignoreSyncs whether syncs of files have no effect
   * @return a description of the failure, or an empty string if there is none; null if the history
   *     ended before the crash
   */
  private static String crashAndRecover(long seed, long point, boolean ignoreSyncs) {
    Random random = new Random(seed);
    Random crashRandom = new Random(seed * 31 + point);
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
      // The crash that was set up above.
    }
    CrashingDirectory afterCrash = disk.afterCrash(crashRandom);
    if (crashRandom.nextInt(4) == 0) {
      try {
        table(afterCrash.crashAt(crashRandom.nextInt(6))).open();
      } catch (CrashingDirectory.Crash e) {
        // The crash during recovery.
      }
      afterCrash = afterCrash.afterCrash(crashRandom);
    }
    DurableTable recovered = table(afterCrash);
    RecoveryReport report = recovered.open();
    if (!report.usable()) {
      return "store not usable: " + report;
    }
    long recoveredSequence = recovered.sequence();
    if (recoveredSequence < history.acknowledged || recoveredSequence >= history.states.size()) {
      return "recovered sequence "
          + recoveredSequence
          + ", expected "
          + history.acknowledged
          + " to "
          + (history.states.size() - 1)
          + " (last acknowledged to last written)";
    }
    if (!contents(recovered).equals(history.states.get((int) recoveredSequence))) {
      return "recovered at sequence "
          + recoveredSequence
          + ": "
          + contents(recovered)
          + ", expected "
          + history.states.get((int) recoveredSequence);
    }
    return recovered.set("again", bytes("x")) && recovered.sync()
        ? ""
        : "a change after recovery was rejected";
  }

  @Test
  void recoversFromACrashAtAnyOperation() {
    int points = 0;
    for (int seed = 0; points < 50_000; seed++) {
      for (long point = 0; ; point++) {
        String failure = crashAndRecover(seed, point, false);
        if (failure == null) {
          break;
        }
        assertEquals("", failure, "seed " + seed + ", crash at operation " + point);
        points++;
      }
    }
  }

  @Test
  void crashTestDetectsAMissingSync() {
    int failures = 0;
    for (int seed = 0; seed < 5; seed++) {
      for (long point = 0; point < 60; point++) {
        String failure = crashAndRecover(seed, point, true);
        failures += failure != null && !failure.isEmpty() ? 1 : 0;
      }
    }
    assertTrue(failures > 0);
  }

  /**
   * Guards against the loss of acknowledged changes when one operation of the disk fails, or 1000
   * in a row, which makes the store fail. Changes that were not acknowledged may be lost.
   */
  @Test
  void acknowledgedChangesSurviveDiskFaults() throws IOException {
    int failed = 0;
    for (int seed = 0; seed < 300; seed++) {
      Random random = new Random(seed);
      CrashingDirectory disk =
          new CrashingDirectory()
              .failOperations(4 + random.nextInt(60), random.nextBoolean() ? 1 : 1000);
      History history = new History();
      DurableTable table = table(disk);
      table.open();
      history.apply(table, random, 40);
      failed += table.hasFailed() ? 1 : 0;
      DurableTable recovered = table(disk.afterCrash(random));
      assertTrue(recovered.open().usable());
      long recoveredSequence = recovered.sequence();
      assertTrue(
          recoveredSequence >= history.acknowledged,
          "seed "
              + seed
              + ": recovered sequence "
              + recoveredSequence
              + ", acknowledged "
              + history.acknowledged);
      assertEquals(
          history.states.get((int) recoveredSequence), contents(recovered), "seed " + seed);
    }
    assertTrue(failed > 0);
  }

  private static CrashingDirectory storeAfter(int changes) {
    CrashingDirectory disk = new CrashingDirectory();
    DurableTable table = new DurableTable(disk, OWNER, 200, 10_000);
    table.open();
    for (int i = 0; i < changes; i++) {
      table.set("k" + i % 4, bytes("value " + i));
      table.sync();
    }
    return disk;
  }

  private static String lastFile(CrashingDirectory disk, String prefix) {
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
  void emptyDirectoryGivesANewStore() {
    assertEquals("NEW []", recover(new CrashingDirectory()));
  }

  @Test
  void intactStoreIsRecoveredCompletely() {
    assertEquals("WHOLE []", recover(storeAfter(21)));
  }

  @Test
  void incompleteTailIsTruncated() throws IOException {
    CrashingDirectory store = storeAfter(21);
    String lastSegment = lastFile(store, FileFormat.SEGMENT_PREFIX);
    store.truncate(lastSegment, store.read(lastSegment, 1 << 20).length - 3);
    assertEquals(
        "CUT [log-0000000000000004: truncated an invalid tail of 26 bytes]", recover(store));
  }

  @Test
  void corruptSnapshotFallsBackToThePreviousOne() {
    CrashingDirectory store = storeAfter(21);
    String newest = lastFile(store, FileFormat.SNAPSHOT_PREFIX);
    store.corrupt(newest, 40);
    assertEquals("CUT [" + newest + " is corrupt or incomplete; quarantined]", recover(store));
    DurableTable older = new DurableTable(store.copy(), OWNER, 200, 10_000);
    older.open();
    assertEquals(
        21, older.sequence(), "the older snapshot and the segments after it contain all changes");
  }

  @Test
  void segmentIsTruncatedAtItsFirstCorruptRecord() {
    CrashingDirectory store = new CrashingDirectory();
    DurableTable table = new DurableTable(store, OWNER, 100_000, 10_000);
    table.open();
    for (int i = 0; i < 10; i++) {
      table.set("k" + i, bytes("v"));
    }
    table.sync();
    store.corrupt("log-0000000000000001", FileFormat.HEADER_BYTES + 22 * 4 + 15);
    DurableTable recovered = new DurableTable(store, OWNER, 100_000, 10_000);
    assertEquals(
        "[log-0000000000000001: truncated an invalid tail of 132 bytes]",
        recovered.open().told().toString());
    assertEquals(4, recovered.sequence());
  }

  @Test
  void segmentsAfterAMissingOneAreQuarantined() throws IOException {
    CrashingDirectory store = new CrashingDirectory();
    for (int i = 0; i < 3; i++) {
      DurableTable table = new DurableTable(store, OWNER, 100_000, 10_000);
      table.open();
      table.set("k" + i, bytes("v"));
      table.sync();
    }
    store.delete("log-0000000000000002");
    assertEquals(
        "CUT [log-0000000000000003: found sequence 3, expected 2; quarantined with all later"
            + " segments]",
        recover(store));
    assertTrue(store.list().contains("aside-log-0000000000000003"));
  }

  @Test
  void snapshotWithoutSegmentsIsSufficient() throws IOException {
    CrashingDirectory store = storeAfter(21);
    for (String name : store.list()) {
      if (name.startsWith(FileFormat.SEGMENT_PREFIX)) {
        store.delete(name);
      }
    }
    assertEquals("WHOLE []", recover(store), "the snapshot contains all changes");
  }

  @Test
  void foreignAndLockedStoresAreNotChanged() throws IOException {
    CrashingDirectory disk = storeAfter(3);
    List<String> filesBefore = disk.list();
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
    assertEquals(filesBefore, disk.list());
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
    int rejected = 0;
    for (int i = 0; i < 100; i++) {
      rejected += table.set("key " + i, new byte[40]) ? 0 : 1;
    }
    assertTrue(rejected > 80);
    for (int i = 0; i < 5000; i++) {
      assertTrue(table.set("key 1", new byte[40]));
      assertTrue(table.sync());
    }
    int bytes = 0;
    for (String name : disk.list()) {
      bytes += disk.read(name, 1 << 20).length;
    }
    assertTrue(bytes < 12_000, bytes + " bytes, expected fewer than 12000, in " + disk.list());
  }

  /**
   * Guards against the loss of acknowledged changes when a process that writes to a real file
   * system is killed. Each of 25 processes recovers the store of the one before and is killed after
   * a random amount of output.
   */
  @Test
  void killedProcessLosesNoAcknowledgedChange(@TempDir Path folder, @TempDir Path outputFolder)
      throws Exception {
    Random random = new Random(5);
    long lastAcknowledged = 0;
    for (int i = 0; i < 25; i++) {
      Path log = Files.createTempFile(outputFolder, "acknowledged", "");
      Process writer =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-XX:TieredStopAtLevel=1",
                  "-XX:+UseSerialGC",
                  "-cp",
                  System.getProperty("java.class.path"),
                  WritingProcess.class.getName(),
                  folder.toString())
              .redirectErrorStream(true)
              .redirectOutput(log.toFile())
              .start();
      int outputBytes = 20 + random.nextInt(2000);
      for (int j = 0; j < 2000 && Files.size(log) < outputBytes && writer.isAlive(); j++) {
        Thread.sleep(5);
      }
      writer.destroyForcibly().waitFor();
      String output = Files.readString(log);
      String[] lines = output.substring(0, output.lastIndexOf('\n')).split("\n", -1);
      long recoveredSequence = Long.parseLong(lines[0]);
      assertTrue(
          recoveredSequence >= lastAcknowledged,
          "recovered sequence "
              + recoveredSequence
              + ", but "
              + lastAcknowledged
              + " was acknowledged");
      lastAcknowledged = Long.parseLong(lines[lines.length - 1]);
    }
    try (DurableTable table =
        new DurableTable(new FileSystemDirectory(folder), OWNER, 4000, 10_000)) {
      assertTrue(table.open().usable());
      assertTrue(table.sequence() >= lastAcknowledged);
      assertEquals(
          RecoveryReport.State.LOCKED,
          new DurableTable(new FileSystemDirectory(folder), OWNER, 4000, 10_000).open().state());
    }
    try (var files = Files.list(folder)) {
      assertTrue(files.count() < 12);
    }
  }

  /**
   * The main class of a process that writes until it is killed. Prints the recovered sequence, then
   * each acknowledged sequence, one a line.
   */
  static final class WritingProcess {
    private WritingProcess() {}

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
