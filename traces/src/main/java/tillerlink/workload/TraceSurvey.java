package tillerlink.workload;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.DoubleHistogram;
import org.HdrHistogram.DoubleHistogramIterationValue;
import tillerlink.trace.Task;
import tillerlink.trace.TaskSource;

/** Statistics of a trace: its time span, the number of tasks, and their work by request class. */
public final class TraceSurvey {
  private static final long HISTOGRAM_RANGE = 1L << 40;
  private static final int SIGNIFICANT_DIGITS = 2;

  private final List<DoubleHistogram> work = new ArrayList<>();
  private long first = Long.MAX_VALUE;
  private long last = Long.MIN_VALUE;
  private long tasks;
  private long noRequestClass;

  /** An empty survey over that many request classes. */
  public TraceSurvey(int requestClasses) {
    for (int i = 0; i < requestClasses; i++) {
      DoubleHistogram histogram = new DoubleHistogram(HISTOGRAM_RANGE, SIGNIFICANT_DIGITS);
      histogram.setAutoResize(true);
      work.add(histogram);
    }
  }

  /** Adds one task. */
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

  /** Adds all tasks, or the first ones up to a limit. */
  public TraceSurvey addAll(TaskSource source, long limit) throws IOException {
    for (long i = 0; i < limit; i++) {
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

  /** The time from the first start to the last. */
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

  /** The median work of a request class, or 1 if it has no task. */
  public double median(int requestClass) {
    return work.get(requestClass).getTotalCount() == 0
        ? 1
        : work.get(requestClass).getValueAtPercentile(50);
  }

  /** The work of a request class's tasks once each is scaled and bounded. */
  double scaled(int requestClass, double factor, double min, double max) {
    double sum = 0;
    for (DoubleHistogramIterationValue value : work.get(requestClass).recordedValues()) {
      double bounded = Math.min(max, Math.max(min, value.getValueIteratedTo() * factor));
      sum += bounded * value.getCountAddedInThisIterationStep();
    }
    return sum;
  }
}
