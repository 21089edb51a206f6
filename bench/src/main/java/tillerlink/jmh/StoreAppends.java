package tillerlink.jmh;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.stream.Stream;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import tillerlink.store.DurableTable;
import tillerlink.store.FileSystemDirectory;

/**
 * Compares the store with H2 MVStore in one run: appends by durability, recovery time, and disk
 * space.
 */
public final class StoreAppends {
  private static final int VALUE_BYTES = 90;
  private static final long RUN_NANOS = 2_000_000_000L;

  private StoreAppends() {}

  /** Prints the appends a second of both stores, then recovery by number of engines. */
  public static void main(String[] args) throws IOException {
    for (int round = 0; round < 2; round++) {
      for (int group : new int[] {1, 100, 10_000}) {
        appendToTable(group);
        appendToMvStore(group);
      }
    }
    for (int engines : new int[] {10, 100, 1000, 100_000}) {
      measureRecovery(engines);
    }
  }

  private static long diskBytes(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      return files.filter(Files::isRegularFile).mapToLong(file -> file.toFile().length()).sum();
    }
  }

  private static void appendToTable(int group) throws IOException {
    Path folder = Files.createTempDirectory("appends-");
    long count = 0;
    try (DurableTable table =
        new DurableTable(new FileSystemDirectory(folder), 1, 4 << 20, 1 << 24)) {
      table.open();
      long endNanos = System.nanoTime() + RUN_NANOS;
      while (System.nanoTime() < endNanos) {
        for (int i = 0; i < group; i++) {
          table.set("engine/e" + count++ % 1000, new byte[VALUE_BYTES]);
        }
        table.sync();
      }
    }
    System.out.printf(
        Locale.ROOT,
        "store,   %5d a sync: %8.0f appends a second, %d KB on disk%n",
        group,
        count / (RUN_NANOS / 1e9),
        diskBytes(folder) / 1024);
  }

  private static void appendToMvStore(int group) throws IOException {
    Path folder = Files.createTempDirectory("appends-");
    long count = 0;
    MVStore store =
        new MVStore.Builder().fileName(folder.resolve("mv").toString()).autoCommitDisabled().open();
    MVMap<String, byte[]> map = store.openMap("engines");
    long endNanos = System.nanoTime() + RUN_NANOS;
    while (System.nanoTime() < endNanos) {
      for (int i = 0; i < group; i++) {
        map.put("engine/e" + count++ % 1000, new byte[VALUE_BYTES]);
      }
      store.commit();
      store.sync();
    }
    store.close();
    System.out.printf(
        Locale.ROOT,
        "MVStore, %5d a sync: %8.0f appends a second, %d KB on disk%n",
        group,
        count / (RUN_NANOS / 1e9),
        diskBytes(folder) / 1024);
  }

  private static void measureRecovery(int engines) throws IOException {
    Path folder = Files.createTempDirectory("kept-");
    long written = 0;
    try (DurableTable table =
        new DurableTable(new FileSystemDirectory(folder), 1, 1 << 20, 1 << 28)) {
      table.open();
      for (int round = 0; round < 5; round++) {
        for (int i = 0; i < engines; i++) {
          table.set("engine/e" + i, new byte[VALUE_BYTES]);
          written += VALUE_BYTES;
        }
        table.sync();
      }
    }
    long startNanos = System.nanoTime();
    try (DurableTable table =
        new DurableTable(new FileSystemDirectory(folder), 1, 1 << 20, 1 << 28)) {
      table.open();
      System.out.printf(
          Locale.ROOT,
          "%d engines: %d KB on disk, %.2f bytes on disk a byte of values written, "
              + "recovered in %.1f ms%n",
          engines,
          diskBytes(folder) / 1024,
          (double) diskBytes(folder) / written,
          (System.nanoTime() - startNanos) / 1e6);
    }
  }
}
