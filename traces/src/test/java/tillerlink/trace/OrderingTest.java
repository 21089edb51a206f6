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

/** Tasks that are out of order are sorted within the window; ties keep the order of the file. */
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

  /** Tasks whose places in the file are off by up to a window. */
  private static List<Task> shuffled(Random random, int count, long window, long gap) {
    List<long[]> places = new ArrayList<>();
    long now = 0;
    for (int i = 0; i < count; i++) {
      now += random.nextInt(20) == 0 ? random.nextInt((int) gap * 50) : random.nextInt((int) gap);
      places.add(new long[] {now, now + (long) (random.nextDouble() * window)});
    }
    places.sort(Comparator.comparingLong(place -> place[1]));
    List<Task> tasks = new ArrayList<>();
    for (long[] place : places) {
      tasks.add(task(place[0], tasks.size()));
    }
    return tasks;
  }

  @Test
  void tasksWithinTheWindowAreAllSorted() throws IOException {
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
  void tasksBeyondTheWindowAreCountedAndTheRestSorted() throws IOException {
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
  void reorderBufferHoldsNoMoreThanItsLimit() throws IOException {
    List<Task> tasks = shuffled(new Random(3), 5000, 50_000, 10);
    long[] taken = {0};
    Iterator<Task> source = tasks.iterator();
    ReorderBuffer reorder =
        new ReorderBuffer(
            () -> {
              taken[0]++;
              return source.hasNext() ? source.next() : null;
            },
            50_000,
            300,
            new RowCounts());
    long given = 0;
    for (Task task = reorder.next(); task != null; task = reorder.next()) {
      given++;
      assertTrue(taken[0] - given <= 5000);
    }
    assertTrue(reorder.releasedEarly() > 0);
    assertTrue(given > 0);
  }

  @Test
  void joinIsBoundedAndEvictsTheOldestFirst() {
    for (int seed = 0; seed < 30; seed++) {
      Random random = new Random(seed);
      int most = 1 + random.nextInt(50);
      StartEndJoin join = new StartEndJoin(most);
      Map<Long, Long> kept = new HashMap<>();
      for (int i = 0; i < 3000; i++) {
        long key = CsvRow.mixed(random.nextInt(most * 3));
        if (random.nextBoolean()) {
          join.open(key, i, 1, 0, i, 0);
          kept.put(key, (long) i);
        } else {
          Task task = join.close(key, i, 0, 0);
          if (task != null) {
            assertEquals(kept.remove(key), task.start(), "seed " + seed);
          }
        }
        assertTrue(join.waiting() <= most);
      }
      assertTrue(join.waiting() <= kept.size());
    }
  }

  @Test
  void externalSortOrdersAllTasksAndLeavesNoFiles() throws IOException {
    int count = 450_000;
    Random random = new Random(4);
    int[] made = {0};
    TaskSource source = () -> made[0] == count ? null : task(random.nextInt(1 << 20), made[0]++);
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
    try (Stream<Path> left = Files.list(folder)) {
      assertEquals(0, left.count(), "nothing stays behind");
    }
  }

  @Test
  void externalSortLimitsDiskAndRemovesFilesOfDeadProcesses() throws IOException {
    Path left = Files.createDirectory(folder.resolve("tillerlink-sort-999999999-x"));
    Files.writeString(left.resolve("run-0"), "x");
    Path own =
        Files.createDirectory(
            folder.resolve("tillerlink-sort-" + ProcessHandle.current().pid() + "-y"));
    int[] made = {0};
    try (ExternalSort sort = new ExternalSort(() -> task(made[0], made[0]++), folder, 1 << 20)) {
      assertEquals(
          "sorting takes more than 1 MB on disk",
          assertThrows(IOException.class, sort::next).getMessage());
    }
    assertFalse(Files.exists(left));
    assertTrue(Files.exists(own));
  }
}
