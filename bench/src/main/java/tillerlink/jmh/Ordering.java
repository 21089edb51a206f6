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
 * Putting tasks in order that stand out of order by a window: the wheel against a priority queue.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class Ordering {
  private static final int TASKS = 200_000;
  private static final long GAP = 50;

  /** How many tasks a window spans. */
  @Param({"100", "10000", "100000"})
  private int waiting;

  private Task[] tasks;
  private long window;

  /** Makes the tasks, out of order by up to a window. */
  @Setup
  public void make() {
    Random random = new Random(1);
    window = waiting * GAP;
    tasks = new Task[TASKS];
    long[][] places = new long[TASKS][];
    for (int i = 0; i < TASKS; i++) {
      places[i] = new long[] {i * GAP, i * GAP + (long) (random.nextDouble() * window)};
    }
    java.util.Arrays.sort(places, Comparator.comparingLong(place -> place[1]));
    for (int i = 0; i < TASKS; i++) {
      tasks[i] = new Task(places[i][0], 10, 1, 0, i, 0, i, 0, 1);
    }
  }

  /** Puts the tasks in order with the wheel that traces are read with. */
  @Benchmark
  @OperationsPerInvocation(TASKS)
  public long wheel() throws IOException {
    int[] at = {0};
    ReorderBuffer reorder =
        new ReorderBuffer(
            () -> at[0] < TASKS ? tasks[at[0]++] : null, window, TASKS, new RowCounts());
    long sum = 0;
    for (Task task = reorder.next(); task != null; task = reorder.next()) {
      sum += task.start();
    }
    return sum;
  }

  /** Puts the tasks in order with a heap that holds a window of them. */
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
