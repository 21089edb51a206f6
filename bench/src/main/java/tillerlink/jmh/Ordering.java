package tillerlink.jmh;

import java.io.IOException;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import tillerlink.trace.ReorderBuffer;
import tillerlink.trace.RowCounts;
import tillerlink.trace.Task;

/**
 * Compares the wheel of the reorder buffer with a priority queue for sorting tasks that are out of
 * order by up to a window.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class Ordering {
  private static final int TASKS = 200_000;

  /** The time between the starts of two tasks, in tenths of a millisecond. */
  private static final long START_INTERVAL = 50;

  /** The number of tasks in a window. */
  @Param({"100", "10000", "100000"})
  private int waiting;

  private Task[] tasks;
  private long window;

  /** Generates the tasks, out of order by up to a window. */
  @Setup
  public void setUp() {
    Random random = new Random(1);
    window = waiting * START_INTERVAL;
    tasks = new Task[TASKS];
    long[][] positions = new long[TASKS][];
    for (int i = 0; i < TASKS; i++) {
      positions[i] =
          new long[] {
            i * START_INTERVAL, i * START_INTERVAL + (long) (random.nextDouble() * window)
          };
    }
    java.util.Arrays.sort(positions, Comparator.comparingLong(position -> position[1]));
    for (int i = 0; i < TASKS; i++) {
      tasks[i] = new Task(positions[i][0], 10, 1, 0, i, 0, i, 0, 1);
    }
  }

  /** Sorts the tasks with the wheel that is used for reading traces. */
  @Benchmark
  @OperationsPerInvocation(TASKS)
  public long wheel() throws IOException {
    int[] index = {0};
    ReorderBuffer reorder =
        new ReorderBuffer(
            () -> index[0] < TASKS ? tasks[index[0]++] : null, window, TASKS, new RowCounts());
    long sum = 0;
    for (Task task = reorder.next(); task != null; task = reorder.next()) {
      sum += task.start();
    }
    return sum;
  }

  /** Sorts the tasks with a heap that contains one window of them. */
  @Benchmark
  @OperationsPerInvocation(TASKS)
  public long priorityQueue() {
    PriorityQueue<Task> queue =
        new PriorityQueue<>(Comparator.comparingLong(Task::start).thenComparingLong(Task::number));
    long sum = 0;
    for (Task task : tasks) {
      queue.add(task);
      while (queue.peek().start() + window < task.start()) {
        sum += queue.poll().start();
      }
    }
    while (!queue.isEmpty()) {
      sum += queue.poll().start();
    }
    return sum;
  }
}
