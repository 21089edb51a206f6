package tillerlink.peering.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.cluster.KeyValueStore;

/** Tests durability, order and limits of the store, with a queue as the gateway's event loop. */
class DiskKeyValueStoreTest {
  @TempDir private Path directory;
  private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();

  private DiskKeyValueStore open(long maxBytes) throws IOException {
    return DiskKeyValueStore.open(directory.resolve("n1"), "n1", maxBytes, tasks::add);
  }

  private void runTasksUntil(List<?> notified, int size) throws InterruptedException {
    while (notified.size() < size) {
      Runnable task = tasks.poll(60, TimeUnit.SECONDS);
      assertTrue(task != null, "no further notification after " + notified);
      task.run();
    }
  }

  /**
   * Callbacks run in the order of the changes, even for several changes of one name, and the
   * entries are present after a restart.
   */
  @Test
  void changesBecomeDurableInOrder() throws IOException, InterruptedException {
    List<Integer> durable = new ArrayList<>();
    try (DiskKeyValueStore store = open(1 << 20)) {
      assertTrue(store.initialEntries().isEmpty());
      for (int i = 0; i < 500; i++) {
        int number = i;
        assertTrue(store.set("name " + i % 7, new byte[] {(byte) i}, () -> durable.add(number)));
      }
      assertTrue(store.set("name 3", null, null));
      runTasksUntil(durable, 500);
    }
    for (int i = 0; i < 500; i++) {
      assertEquals(i, durable.get(i));
    }
    try (DiskKeyValueStore store = open(1 << 20)) {
      assertEquals(
          Set.of("name 0", "name 1", "name 2", "name 4", "name 5", "name 6"),
          store.initialEntries().keySet());
      assertArrayEquals(new byte[] {(byte) 499}, store.initialEntries().get("name 2"));
    }
  }

  /**
   * A copy of the files, taken at any time, contains all changes whose callbacks have run and a
   * prefix of the remaining ones. Otherwise a crash could lose a change that was reported durable,
   * or keep a change without an earlier one.
   */
  @Test
  void aCopyOfTheFilesAtAnyTimeContainsAPrefixOfTheChanges()
      throws IOException, InterruptedException {
    List<Integer> durable = new ArrayList<>();
    try (DiskKeyValueStore store = open(1 << 22)) {
      for (int i = 0; i < 3000; i++) {
        int number = i;
        store.set(String.format("%06d", i), new byte[100], () -> durable.add(number));
        if (i % 500 == 250) {
          runTasksUntil(durable, 1);
          int notified = durable.get(durable.size() - 1);
          Path copy = copy("copy" + i);
          try (DiskKeyValueStore other = DiskKeyValueStore.open(copy, "n1", 1 << 22, tasks::add)) {
            int entries = other.initialEntries().size();
            assertTrue(
                entries > notified && entries <= i + 1,
                entries + " entries, notified up to " + notified + " of " + i);
            assertEquals(String.format("%06d", entries - 1), other.initialEntries().lastKey());
          }
        }
      }
    }
  }

  private Path copy(String name) throws IOException {
    Path to = Files.createDirectories(directory.resolve(name));
    try (Stream<Path> files = Files.list(directory.resolve("n1"))) {
      // Oldest files first, because the files that a snapshot replaces are removed only after the
      // snapshot exists.
      for (Path file : files.sorted().toList()) {
        Files.copy(file, to.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
      }
    }
    return to;
  }

  /**
   * Changes that would exceed the size limit are refused; values that fit and removals are still
   * accepted.
   */
  @Test
  void changesBeyondTheSizeLimitAreRefused() throws IOException, InterruptedException {
    List<String> durable = new ArrayList<>();
    try (DiskKeyValueStore store = open(10_000)) {
      assertTrue(store.set("a", new byte[6000], () -> durable.add("a")));
      assertFalse(store.set("b", new byte[6000], () -> durable.add("b")));
      assertFalse(store.set("a", new byte[11_000], () -> durable.add("longer a")));
      assertTrue(store.set("a", new byte[9000], () -> durable.add("a again")));
      assertTrue(store.set("a", null, () -> durable.add("no a")));
      assertTrue(store.set("b", new byte[6000], () -> durable.add("b again")));
      assertThrows(
          IllegalArgumentException.class,
          () -> store.set("c", new byte[KeyValueStore.MAX_VALUE_BYTES + 1], null));
      runTasksUntil(durable, 4);
    }
    assertEquals(List.of("a", "a again", "no a", "b again"), durable);
    try (DiskKeyValueStore store = open(10_000)) {
      assertEquals(Set.of("b"), store.initialEntries().keySet());
      assertFalse(store.set("a", new byte[6000], null));
    }
  }

  @Test
  void lockedAndForeignStoresAreRefused() throws IOException {
    try (DiskKeyValueStore store = open(1 << 20)) {
      assertTrue(store.set("a", new byte[1], null));
      assertTrue(
          assertThrows(IOException.class, () -> open(1 << 20))
              .getMessage()
              .contains("another process has the store"));
    }
    assertThrows(
        IOException.class,
        () -> DiskKeyValueStore.open(directory.resolve("n1"), "n2", 1 << 20, tasks::add));
  }

  @Test
  void changesAfterCloseAreRefused() throws IOException {
    DiskKeyValueStore store = open(1 << 20);
    store.close();
    assertFalse(store.set("a", new byte[1], null));
  }

  @Test
  void componentsDoNotSeeEachOthersNames() throws IOException {
    try (DiskKeyValueStore store = open(1 << 20)) {
      new PrefixedKeyValueStore(store, "members").set("x", new byte[] {1}, null);
      new PrefixedKeyValueStore(store, "members2").set("x", new byte[] {2}, null);
      new PrefixedKeyValueStore(store, "channels").set("y", new byte[] {3}, null);
    }
    try (DiskKeyValueStore store = open(1 << 20)) {
      assertArrayEquals(
          new byte[] {1}, new PrefixedKeyValueStore(store, "members").initialEntries().get("x"));
      assertEquals(
          Set.of("y"), new PrefixedKeyValueStore(store, "channels").initialEntries().keySet());
      assertEquals(
          Set.of("channels/y", "members/x", "members2/x"), store.initialEntries().keySet());
    }
  }
}
