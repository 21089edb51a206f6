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

  /** Creates an empty survey for a number of request classes. */
  public TraceSurvey(int requestClasses) {
    for (int i = 0; i < requestClasses; i++) {
      DoubleHistogram histogram = new DoubleHistogram(HISTOGRAM_RANGE, SIGNIFICANT_DIGITS);
      histogram.setAutoResize(true);
      work.add(histogram);
    }
  }

  /** Adds a task to the statistics. */
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

  /**
   * Adds the tasks of a source.
   *
   * @param limit the maximum number of tasks to add
   * @return this survey
   */
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

  /** Returns the first start in tenths of a millisecond, or 0 if there are no tasks. */
  public long first() {
    return tasks == 0 ? 0 : first;
  }

  /**
   * Returns the time from the first start to the last, in tenths of a millisecond.
   *
   * @return 0 if there are no tasks, otherwise at least 1
   */
  public long span() {
    return tasks == 0 ? 0 : Math.max(1, last - first);
  }

  public long tasks() {
    return tasks;
  }

  /** Returns the number of tasks that belong to no request class. */
  public long noRequestClass() {
    return noRequestClass;
  }

  /**
   * Returns the median work of the tasks of a request class, in tenths of a millisecond on one
   * core.
   *
   * @return 1 if the request class has no tasks
   */
  public double median(int requestClass) {
    return work.get(requestClass).getTotalCount() == 0
        ? 1
        : work.get(requestClass).getValueAtPercentile(50);
  }

  /**
   * Returns the total work of the tasks of a request class after scaling, in tenths of a
   * millisecond on one core.
   *
   * @param factor the factor on the work of each task
   * @param min the lower bound of the scaled work of each task
   * @param max the upper bound of the scaled work of each task
   */
  double scaled(int requestClass, double factor, double min, double max) {
    double sum = 0;
    for (DoubleHistogramIterationValue value : work.get(requestClass).recordedValues()) {
      double bounded = Math.min(max, Math.max(min, value.getValueIteratedTo() * factor));
      sum += bounded * value.getCountAddedInThisIterationStep();
    }
    return sum;
  }
}
