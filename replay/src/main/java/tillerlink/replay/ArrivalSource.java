package tillerlink.replay;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
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
 * Reads the requests of a trace in order of arrival. Files are read twice: the first pass computes
 * the scaling. Standard input can be read only once, so its first tasks are buffered and the
 * scaling is computed from them.
 */
public final class ArrivalSource implements Closeable {
  private static final int TABLE_GROUPS = 64;
  private static final int MAX_WAITING = 100_000;
  private static final int SURVEY_TASKS = 20_000;
  private static final long MIN_ROWS = 1000;

  /** Memory that a request is assumed to need for each second of work on a core, in megabytes. */
  private static final double MEGABYTES_PER_SECOND = 400;

  private final ReplayConfig config;
  private final RowCounts counts = new RowCounts();
  private final TaskReader reader;
  private final TaskSource ordered;
  private final ReorderBuffer reorder;
  private final ExternalSort sort;
  private final WorkloadScaling scaling;
  private final TraceSurvey survey;
  private long sampledOut;
  private long noRequestClass;
  private long arrived;
  private long latestArrival;

  /**
   * Opens the trace of a replay and computes its scaling.
   *
   * @throws InvalidTraceException if the trace has no usable row, too many bad rows, or no scaling
   *     reaches the configured load
   * @throws IOException if the trace cannot be read
   */
  public ArrivalSource(ReplayConfig config) throws IOException {
    this.config = config;
    survey = new TraceSurvey(config.requestClasses().size());
    reader = openReader(counts);
    List<Task> prefix = new ArrayList<>();
    if (config.shards().stream().allMatch(Shard::readableAgain)) {
      surveyFiles();
    } else {
      surveyPrefix(prefix);
    }
    if (survey.tasks() == 0) {
      throw new InvalidTraceException("the trace has no usable row");
    }
    scaling = computeScaling();
    TaskSource source = concatenate(prefix, limitBadRows(reader, counts));
    sort =
        config.sortFolder() == null
            ? null
            : new ExternalSort(source, config.sortFolder(), config.maxSortBytes());
    reorder = sort != null ? null : new ReorderBuffer(source, config.window(), MAX_WAITING, counts);
    ordered = sort != null ? sort : reorder;
  }

  private void surveyFiles() throws IOException {
    RowCounts surveyCounts = new RowCounts();
    try (TaskReader surveyReader = openReader(surveyCounts)) {
      survey.addAll(limitBadRows(surveyReader, surveyCounts), Long.MAX_VALUE);
    }
  }

  /**
   * Surveys the first tasks and adds them to the given list, from which they are replayed later.
   */
  private void surveyPrefix(List<Task> prefix) throws IOException {
    TaskSource source = limitBadRows(reader, counts);
    for (Task task = source.next();
        task != null;
        task = prefix.size() < SURVEY_TASKS ? source.next() : null) {
      prefix.add(task);
      survey.add(task);
    }
  }

  private WorkloadScaling computeScaling() throws InvalidTraceException {
    try {
      return WorkloadScaling.of(
          survey,
          config.requestClasses(),
          config.fleet().cores(),
          config.load(),
          config.scale(),
          config.jobs(),
          MEGABYTES_PER_SECOND);
    } catch (IllegalArgumentException e) {
      throw new InvalidTraceException(e.getMessage());
    }
  }

  private TaskReader openReader(RowCounts rowCounts) {
    return new TaskReader(
        config.layout(),
        config.shards(),
        config.requestClasses().stream().map(RequestClassSpec::rows).toList(),
        rowCounts);
  }

  /**
   * Returns a source that throws once the share of bad rows exceeds the configured limit, because
   * the file is then probably not a trace in the configured layout.
   */
  private TaskSource limitBadRows(TaskSource source, RowCounts rows) {
    return () -> {
      Task task = source.next();
      if ((task == null || rows.rowsRead() >= MIN_ROWS) && rows.badShare() > config.maxBadShare()) {
        throw new InvalidTraceException(
            String.format(
                Locale.ROOT,
                "%d of %d rows are bad: share %.4f exceeds the limit of %.4f",
                rows.bad(),
                rows.rowsRead(),
                rows.badShare(),
                config.maxBadShare()));
      }
      return task;
    };
  }

  private static TaskSource concatenate(List<Task> prefix, TaskSource rest) {
    int[] index = {0};
    return () -> index[0] < prefix.size() ? prefix.set(index[0]++, null) : rest.next();
  }

  /**
   * Returns the next request, or null at the end of the trace. Arrival times never decrease: a
   * request that the reorder buffer released too late gets the latest arrival time returned so far.
   */
  public Arrival next() throws IOException {
    for (Task task = ordered.next(); task != null; task = ordered.next()) {
      Arrival arrival = scaling.map(task, TABLE_GROUPS);
      if (arrival != null) {
        arrived++;
        latestArrival = Math.max(latestArrival, arrival.at());
        return arrival.at() == latestArrival
            ? arrival
            : new Arrival(
                latestArrival,
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

  public RowCounts counts() {
    return counts;
  }

  public WorkloadScaling scaling() {
    return scaling;
  }

  public TraceSurvey survey() {
    return survey;
  }

  /** Returns the number of tasks that were skipped because their jobs are outside the sample. */
  public long sampledOut() {
    return sampledOut;
  }

  /** Returns the number of tasks that were skipped because they match no request class. */
  public long noRequestClass() {
    return noRequestClass;
  }

  public long arrived() {
    return arrived;
  }

  /** Returns the number of tasks that were released before the reorder window had passed. */
  public long releasedEarly() {
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
