package tillerlink.replay;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import tillerlink.trace.ExternalSort;
import tillerlink.trace.Reorder;
import tillerlink.trace.Shard;
import tillerlink.trace.Tally;
import tillerlink.trace.Task;
import tillerlink.trace.TaskReader;
import tillerlink.trace.Tasks;
import tillerlink.workload.Arrival;
import tillerlink.workload.Plan;
import tillerlink.workload.RequestClassSpec;
import tillerlink.workload.Survey;

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
  private final Tally tally = new Tally();
  private final TaskReader reader;
  private final Tasks ordered;
  private final Reorder reorder;
  private final ExternalSort sort;
  private final Plan plan;
  private final Survey survey;
  private long sampledOut;
  private long noRequestClass;
  private long arrived;
  private long latest;

  public Arrivals(Job job) throws IOException {
    this.job = job;
    boolean twice = job.shards().stream().allMatch(Shard::readableAgain);
    survey = new Survey(job.requestClasses().size());
    List<Task> prefix = new ArrayList<>();
    reader = reader(tally);
    if (twice) {
      Tally first = new Tally();
      try (TaskReader once = reader(first)) {
        survey.addAll(guarded(once, first), Long.MAX_VALUE);
      }
    } else {
      Tasks source = guarded(reader, tally);
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
          Plan.of(
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
    Tasks source = joined(prefix, guarded(reader, tally));
    sort = job.sortIn() == null ? null : new ExternalSort(source, job.sortIn(), job.sortMost());
    reorder = sort != null ? null : new Reorder(source, job.window(), WAITING_MOST, tally);
    ordered = sort != null ? sort : reorder;
  }

  private TaskReader reader(Tally to) {
    return new TaskReader(
        job.layout(),
        job.shards(),
        job.requestClasses().stream().map(RequestClassSpec::rows).toList(),
        to);
  }

  /** Guards against replaying what is no such trace at all. */
  private Tasks guarded(Tasks source, Tally rows) {
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

  private static Tasks joined(List<Task> prefix, Tasks rest) {
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

  public Tally tally() {
    return tally;
  }

  public Plan plan() {
    return plan;
  }

  public Survey survey() {
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
    return reorder == null ? 0 : reorder.early();
  }

  @Override
  public void close() throws IOException {
    reader.close();
    if (sort != null) {
      sort.close();
    }
  }
}
