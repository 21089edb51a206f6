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

/** What is kept on disk, by its own thread; a queue stands in for the gateway's turns. */
class DiskKeyValueStoreTest {
  @TempDir private Path folder;
  private final BlockingQueue<Runnable> turns = new LinkedBlockingQueue<>();

  private DiskKeyValueStore open(long most) throws IOException {
    return DiskKeyValueStore.open(folder.resolve("n1"), "n1", most, turns::add);
  }

  private void turnsUntil(List<?> told, int size) throws InterruptedException {
    while (told.size() < size) {
      Runnable turn = turns.poll(60, TimeUnit.SECONDS);
      assertTrue(turn != null, "nothing more is told after " + told);
      turn.run();
    }
  }

  /**
   * Each is told of in the order in which it was handed over, also several of one name, and found
   * again.
   */
  @Test
  void keepsInOrder() throws IOException, InterruptedException {
    List<Integer> kept = new ArrayList<>();
    try (DiskKeyValueStore keep = open(1 << 20)) {
      assertTrue(keep.initialEntries().isEmpty());
      for (int i = 0; i < 500; i++) {
        int number = i;
        assertTrue(keep.set("name " + i % 7, new byte[] {(byte) i}, () -> kept.add(number)));
      }
      assertTrue(keep.set("name 3", null, null));
      turnsUntil(kept, 500);
    }
    for (int i = 0; i < 500; i++) {
      assertEquals(i, kept.get(i));
    }
    try (DiskKeyValueStore keep = open(1 << 20)) {
      assertEquals(
          Set.of("name 0", "name 1", "name 2", "name 4", "name 5", "name 6"),
          keep.initialEntries().keySet());
      assertArrayEquals(new byte[] {(byte) 499}, keep.initialEntries().get("name 2"));
    }
  }

  /** What a killed process had been told is kept is there; of the rest, a prefix. */
  @Test
  void aCopyTakenAtAnyMomentHoldsAPrefix() throws IOException, InterruptedException {
    List<Integer> kept = new ArrayList<>();
    try (DiskKeyValueStore keep = open(1 << 22)) {
      for (int i = 0; i < 3000; i++) {
        int number = i;
        keep.set(String.format("%06d", i), new byte[100], () -> kept.add(number));
        if (i % 500 == 250) {
          turnsUntil(kept, 1);
          int told = kept.get(kept.size() - 1);
          Path copy = copy("copy" + i);
          try (DiskKeyValueStore other = DiskKeyValueStore.open(copy, "n1", 1 << 22, turns::add)) {
            int found = other.initialEntries().size();
            assertTrue(
                found > told && found <= i + 1, found + " found, told up to " + told + " of " + i);
            assertEquals(String.format("%06d", found - 1), other.initialEntries().lastKey());
          }
        }
      }
    }
  }

  private Path copy(String name) throws IOException {
    Path to = Files.createDirectories(folder.resolve(name));
    try (Stream<Path> files = Files.list(folder.resolve("n1"))) {
      // The oldest first: what a snapshot replaces goes only after it is there.
      for (Path file : files.sorted().toList()) {
        Files.copy(file, to.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
      }
    }
    return to;
  }

  /**
   * Beyond the bound it says no and keeps what it has; less of the same name, and removals, go on.
   */
  @Test
  void refusesWhatHasNoRoom() throws IOException, InterruptedException {
    List<String> kept = new ArrayList<>();
    try (DiskKeyValueStore keep = open(10_000)) {
      assertTrue(keep.set("a", new byte[6000], () -> kept.add("a")));
      assertFalse(keep.set("b", new byte[6000], () -> kept.add("b")));
      assertFalse(keep.set("a", new byte[11_000], () -> kept.add("longer a")));
      assertTrue(keep.set("a", new byte[9000], () -> kept.add("a again")));
      assertTrue(keep.set("a", null, () -> kept.add("no a")));
      assertTrue(keep.set("b", new byte[6000], () -> kept.add("b again")));
      assertThrows(
          IllegalArgumentException.class,
          () -> keep.set("c", new byte[KeyValueStore.MAX_VALUE_BYTES + 1], null));
      turnsUntil(kept, 4);
    }
    assertEquals(List.of("a", "a again", "no a", "b again"), kept);
    try (DiskKeyValueStore keep = open(10_000)) {
      assertEquals(Set.of("b"), keep.initialEntries().keySet());
      assertFalse(keep.set("a", new byte[6000], null));
    }
  }

  @Test
  void isNotSharedAndNotAnothers() throws IOException {
    try (DiskKeyValueStore keep = open(1 << 20)) {
      assertTrue(keep.set("a", new byte[1], null));
      assertTrue(
          assertThrows(IOException.class, () -> open(1 << 20))
              .getMessage()
              .contains("another process has the store"));
    }
    assertThrows(
        IOException.class,
        () -> DiskKeyValueStore.open(folder.resolve("n1"), "n2", 1 << 20, turns::add));
  }

  /** After it has ended nothing is promised any more. */
  @Test
  void saysNoOnceItIsClosed() throws IOException {
    DiskKeyValueStore keep = open(1 << 20);
    keep.close();
    assertFalse(keep.set("a", new byte[1], null));
  }

  @Test
  void sharesDoNotSeeEachOther() throws IOException {
    try (DiskKeyValueStore keep = open(1 << 20)) {
      new PrefixedKeyValueStore(keep, "members").set("x", new byte[] {1}, null);
      new PrefixedKeyValueStore(keep, "members2").set("x", new byte[] {2}, null);
      new PrefixedKeyValueStore(keep, "channels").set("y", new byte[] {3}, null);
    }
    try (DiskKeyValueStore keep = open(1 << 20)) {
      assertArrayEquals(
          new byte[] {1}, new PrefixedKeyValueStore(keep, "members").initialEntries().get("x"));
      assertEquals(
          Set.of("y"), new PrefixedKeyValueStore(keep, "channels").initialEntries().keySet());
      assertEquals(Set.of("channels/y", "members/x", "members2/x"), keep.initialEntries().keySet());
    }
  }
}
