package tillerlink.workload;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.DoubleHistogram;
import org.HdrHistogram.DoubleHistogramIterationValue;
import tillerlink.trace.Task;
import tillerlink.trace.Tasks;

/**
 * What a first look at a trace tells: from when to when, how many tasks, and how their work is
 * spread by request class.
 */
public final class Survey {
  private static final long RANGE = 1L << 40;
  private static final int DIGITS = 2;

  private final List<DoubleHistogram> work = new ArrayList<>();
  private long first = Long.MAX_VALUE;
  private long last = Long.MIN_VALUE;
  private long tasks;
  private long noRequestClass;

  public Survey(int requestClasses) {
    for (int i = 0; i < requestClasses; i++) {
      DoubleHistogram histogram = new DoubleHistogram(RANGE, DIGITS);
      histogram.setAutoResize(true);
      work.add(histogram);
    }
  }

  public void add(Task task) {
    first = Math.min(first, task.start());
    last = Math.max(last, task.start());
    tasks++;
    if (task.kind() < 0) {
      noRequestClass++;
    } else {
      work.get(task.kind()).recordValue(Math.max(1, task.work()));
    }
  }

  /** Takes in all, or the first so many. */
  public Survey addAll(Tasks source, long most) throws IOException {
    for (long i = 0; i < most; i++) {
      Task task = source.next();
      if (task == null) {
        break;
      }
      add(task);
    }
    return this;
  }

  public long first() {
    return tasks == 0 ? 0 : first;
  }

  /** From the first start to the last. */
  public long span() {
    return tasks == 0 ? 0 : Math.max(1, last - first);
  }

  public long tasks() {
    return tasks;
  }

  /** Tasks that fit no request class. */
  public long noRequestClass() {
    return noRequestClass;
  }

  public double median(int requestClass) {
    return work.get(requestClass).getTotalCount() == 0
        ? 1
        : work.get(requestClass).getValueAtPercentile(50);
  }

  /** The work of a request class's tasks once each is scaled and bounded. */
  double scaled(int requestClass, double factor, double least, double most) {
    double sum = 0;
    for (DoubleHistogramIterationValue value : work.get(requestClass).recordedValues()) {
      double one = Math.min(most, Math.max(least, value.getValueIteratedTo() * factor));
      sum += one * value.getCountAddedInThisIterationStep();
    }
    return sum;
  }
}
