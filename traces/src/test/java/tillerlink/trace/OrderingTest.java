package tillerlink.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that tasks out of order are sorted, with ties in the order of the file, and that the
 * reorder buffer, the join of starts and ends and the external sort keep their limits.
 */
class OrderingTest {
  private static final Comparator<Task> ORDER =
      Comparator.comparingLong(Task::start).thenComparingLong(Task::number);

  @TempDir private Path folder;

  private static Task task(long start, long number) {
    return new Task(start, 10, 1, 0, number, 0, number, 0, 1);
  }

  private static TaskSource from(List<Task> tasks) {
    Iterator<Task> all = tasks.iterator();
    return () -> all.hasNext() ? all.next() : null;
  }

  private static List<Task> all(TaskSource source) throws IOException {
    List<Task> all = new ArrayList<>();
    for (Task task = source.next(); task != null; task = source.next()) {
      all.add(task);
    }
    return all;
  }

  /**
   * Returns tasks of which each is at most a window late in the file.
   *
   * @param window the maximum delay of a task, in tenths of a millisecond
   * @param gap the upper bound of the usual time between two starts
   */
  private static List<Task> shuffled(Random random, int count, long window, long gap) {
    List<long[]> startsAndDelayedStarts = new ArrayList<>();
    long now = 0;
    for (int i = 0; i < count; i++) {
      now += random.nextInt(20) == 0 ? random.nextInt((int) gap * 50) : random.nextInt((int) gap);
      startsAndDelayedStarts.add(new long[] {now, now + (long) (random.nextDouble() * window)});
    }
    startsAndDelayedStarts.sort(Comparator.comparingLong(starts -> starts[1]));
    List<Task> tasks = new ArrayList<>();
    for (long[] starts : startsAndDelayedStarts) {
      tasks.add(task(starts[0], tasks.size()));
    }
    return tasks;
  }

  @Test
  void sortsAllTasksWithinTheWindow() throws IOException {
    for (int seed = 0; seed < 60; seed++) {
      Random random = new Random(seed);
      long window = 1L + random.nextInt(100_000);
      List<Task> tasks = shuffled(random, 2000, window, 1 + random.nextInt(400));
      RowCounts counts = new RowCounts();
      List<Task> sorted = new ArrayList<>(tasks);
      sorted.sort(ORDER);
      assertEquals(
          sorted, all(new ReorderBuffer(from(tasks), window, 100_000, counts)), "seed " + seed);
      assertEquals(0, counts.skipped(SkipReason.LATE));
    }
  }

  @Test
  void countsTasksBeyondTheWindowAndSortsTheRest() throws IOException {
    for (int seed = 0; seed < 40; seed++) {
      Random random = new Random(seed);
      List<Task> tasks = shuffled(random, 2000, 400_000, 300);
      RowCounts counts = new RowCounts();
      List<Task> out = all(new ReorderBuffer(from(tasks), 20_000, 100_000, counts));
      assertTrue(counts.skipped(SkipReason.LATE) > 0, "seed " + seed);
      assertEquals(2000, out.size() + counts.skipped(SkipReason.LATE));
      List<Task> sorted = new ArrayList<>(out);
      sorted.sort(ORDER);
      assertEquals(sorted, out, "seed " + seed);
    }
  }

  @Test
  void reorderBufferReleasesEarlyWhenItIsFull() throws IOException {
    List<Task> tasks = shuffled(new Random(3), 5000, 50_000, 10);
    long[] read = {0};
    Iterator<Task> source = tasks.iterator();
    ReorderBuffer reorder =
        new ReorderBuffer(
            () -> {
              read[0]++;
              return source.hasNext() ? source.next() : null;
            },
            50_000,
            300,
            new RowCounts());
    long released = 0;
    for (Task task = reorder.next(); task != null; task = reorder.next()) {
      released++;
      assertTrue(read[0] - released <= 5000);
    }
    assertTrue(reorder.releasedEarly() > 0);
    assertTrue(released > 0);
  }

  @Test
  void joinIsBoundedAndEvictsTheOldestFirst() {
    for (int seed = 0; seed < 30; seed++) {
      Random random = new Random(seed);
      int capacity = 1 + random.nextInt(50);
      StartEndJoin join = new StartEndJoin(capacity);
      Map<Long, Long> startsByKey = new HashMap<>();
      for (int i = 0; i < 3000; i++) {
        long key = CsvRow.mix(random.nextInt(capacity * 3));
        if (random.nextBoolean()) {
          join.addStart(key, i, 1, 0, i, 0);
          startsByKey.put(key, (long) i);
        } else {
          Task task = join.matchEnd(key, i, 0, 0);
          if (task != null) {
            assertEquals(startsByKey.remove(key), task.start(), "seed " + seed);
          }
        }
        assertTrue(join.waiting() <= capacity);
      }
      assertTrue(join.waiting() <= startsByKey.size());
    }
  }

  @Test
  void externalSortOrdersAllTasksAndLeavesNoFiles() throws IOException {
    int count = 450_000;
    Random random = new Random(4);
    int[] created = {0};
    TaskSource source =
        () -> created[0] == count ? null : task(random.nextInt(1 << 20), created[0]++);
    long last = -1;
    long lastNumber = -1;
    long seen = 0;
    try (ExternalSort sort = new ExternalSort(source, folder, 1L << 30)) {
      for (Task task = sort.next(); task != null; task = sort.next()) {
        assertTrue(task.start() > last || (task.start() == last && task.number() > lastNumber));
        last = task.start();
        lastNumber = task.number();
        seen++;
      }
    }
    assertEquals(count, seen);
    try (Stream<Path> remaining = Files.list(folder)) {
      assertEquals(0, remaining.count(), "files remain after the sort");
    }
  }

  @Test
  void externalSortLimitsDiskAndRemovesFilesOfDeadProcesses() throws IOException {
    Path leftover = Files.createDirectory(folder.resolve("tillerlink-sort-999999999-x"));
    Files.writeString(leftover.resolve("run-0"), "x");
    Path own =
        Files.createDirectory(
            folder.resolve("tillerlink-sort-" + ProcessHandle.current().pid() + "-y"));
    int[] created = {0};
    try (ExternalSort sort =
        new ExternalSort(() -> task(created[0], created[0]++), folder, 1 << 20)) {
      assertEquals(
          "sort exceeds its limit of 1 MB on disk",
          assertThrows(IOException.class, sort::next).getMessage());
    }
    assertFalse(Files.exists(leftover));
    assertTrue(Files.exists(own));
  }
}
