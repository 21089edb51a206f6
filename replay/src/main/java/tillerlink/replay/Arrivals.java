package tillerlink.replay;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import tillerlink.trace.ExternalSort;
import tillerlink.trace.ReorderBuffer;
import tillerlink.trace.RowCounts;
import tillerlink.trace.Shard;
import tillerlink.trace.Task;
import tillerlink.trace.TaskReader;
import tillerlink.trace.TaskSource;
import tillerlink.workload.Arrival;
import tillerlink.workload.RequestClassSpec;
import tillerlink.workload.TraceSurvey;
import tillerlink.workload.WorkloadScaling;

/**
 * The requests of a trace in the order of their arrival. A file is read twice, first to learn how
 * to scale it; of standard input the first rows are kept for that, and a trace is as long as it is.
 */
public final class Arrivals implements Closeable {
  private static final int TABLE_GROUPS = 64;
  private static final int WAITING_MOST = 100_000;
  private static final int PREFIX = 20_000;
  private static final long ROWS_LEAST = 1000;

  /** With no better knowledge, one second of work on a core needs this much memory. */
  private static final double MEGABYTES_PER_SECOND = 400;

  private final Job job;
  private final RowCounts tally = new RowCounts();
  private final TaskReader reader;
  private final TaskSource ordered;
  private final ReorderBuffer reorder;
  private final ExternalSort sort;
  private final WorkloadScaling plan;
  private final TraceSurvey survey;
  private long sampledOut;
  private long noRequestClass;
  private long arrived;
  private long latest;

  public Arrivals(Job job) throws IOException {
    this.job = job;
    boolean twice = job.shards().stream().allMatch(Shard::readableAgain);
    survey = new TraceSurvey(job.requestClasses().size());
    List<Task> prefix = new ArrayList<>();
    reader = reader(tally);
    if (twice) {
      RowCounts first = new RowCounts();
      try (TaskReader once = reader(first)) {
        survey.addAll(guarded(once, first), Long.MAX_VALUE);
      }
    } else {
      TaskSource source = guarded(reader, tally);
      for (Task task = source.next();
          task != null;
          task = prefix.size() < PREFIX ? source.next() : null) {
        prefix.add(task);
        survey.add(task);
      }
    }
    if (survey.tasks() == 0) {
      throw new BadTraceException("the trace has no row of use");
    }
    try {
      plan =
          WorkloadScaling.of(
              survey,
              job.requestClasses(),
              job.fleet().cores(),
              job.load(),
              job.scale(),
              job.jobs(),
              MEGABYTES_PER_SECOND);
    } catch (IllegalArgumentException e) {
      throw new BadTraceException(e.getMessage());
    }
    TaskSource source = joined(prefix, guarded(reader, tally));
    sort = job.sortIn() == null ? null : new ExternalSort(source, job.sortIn(), job.sortMost());
    reorder = sort != null ? null : new ReorderBuffer(source, job.window(), WAITING_MOST, tally);
    ordered = sort != null ? sort : reorder;
  }

  private TaskReader reader(RowCounts to) {
    return new TaskReader(
        job.layout(),
        job.shards(),
        job.requestClasses().stream().map(RequestClassSpec::rows).toList(),
        to);
  }

  /** Guards against replaying what is no such trace at all. */
  private TaskSource guarded(TaskSource source, RowCounts rows) {
    return () -> {
      Task task = source.next();
      if ((task == null || rows.rowsRead() >= ROWS_LEAST) && rows.badShare() > job.badMost()) {
        throw new BadTraceException(
            String.format(
                java.util.Locale.ROOT,
                "%d of %d rows are bad, a share of %.4f where %.4f is allowed",
                rows.bad(),
                rows.rowsRead(),
                rows.badShare(),
                job.badMost()));
      }
      return task;
    };
  }

  private static TaskSource joined(List<Task> prefix, TaskSource rest) {
    int[] at = {0};
    return () -> at[0] < prefix.size() ? prefix.set(at[0]++, null) : rest.next();
  }

  /** The next, or null at the end; none is earlier than the one before. */
  public Arrival next() throws IOException {
    for (Task task = ordered.next(); task != null; task = ordered.next()) {
      Arrival arrival = plan.map(task, TABLE_GROUPS);
      if (arrival != null) {
        arrived++;
        latest = Math.max(latest, arrival.at());
        return arrival.at() == latest
            ? arrival
            : new Arrival(
                latest,
                arrival.number(),
                arrival.requestClass(),
                arrival.work(),
                arrival.memory(),
                arrival.tableGroup(),
                arrival.key());
      }
      if (task.kind() < 0) {
        noRequestClass++;
      } else {
        sampledOut++;
      }
    }
    return null;
  }

  public RowCounts tally() {
    return tally;
  }

  public WorkloadScaling plan() {
    return plan;
  }

  public TraceSurvey survey() {
    return survey;
  }

  /** Tasks whose jobs are not in the sample. */
  public long sampledOut() {
    return sampledOut;
  }

  /** Tasks that fit no request class. */
  public long noRequestClass() {
    return noRequestClass;
  }

  public long arrived() {
    return arrived;
  }

  /** How many went out before the window had passed. */
  public long early() {
    return reorder == null ? 0 : reorder.releasedEarly();
  }

  @Override
  public void close() throws IOException {
    reader.close();
    if (sort != null) {
      sort.close();
    }
  }
}
