package tillerlink.trace;

import java.util.List;

/**
 * How the columns of a trace are read. Columns are named; without a header in the file, the names
 * stand here in the file's order.
 *
 * @param columns names in order; with a header only those that are used need to be here
 * @param tenthsPer tenths of a millisecond in the file's unit of time
 * @param start the column of the start, or of the time of an event where rows are paired
 * @param end the column of the end, or null
 * @param cores the column of the cores asked for, or null for one core
 * @param coresPer cores in the file's unit
 * @param memory the column of the memory, or null
 * @param job the column that names the job
 * @param task a column that, with the job, names the task where rows are paired, or null
 * @param owner the column that names the user, or null for the job
 * @param copies a column with how often the row ran, or null
 * @param pairing how start rows and end rows are recognized, or null
 * @param wanted tests that a row must pass to be used
 * @param unknownTime a time from which on a row has none that is known, as in traces that mark them
 *     by a huge figure
 */
public record Layout(
    String name,
    char delimiter,
    boolean header,
    List<String> columns,
    double tenthsPer,
    String start,
    String end,
    String cores,
    double coresPer,
    String memory,
    String job,
    String task,
    String owner,
    String copies,
    Pairing pairing,
    List<Test> wanted,
    double unknownTime) {
  /** The events that start a task, those that complete it, and those that abort it. */
  public record Pairing(
      String column, List<String> starts, List<String> ends, List<String> breaks) {}

  /**
   * A test whether a column holds, or does not hold, one of some texts, or lies in a closed range.
   */
  public record Test(String column, List<String> values, boolean not, double least, double most) {
    /** The column holds one of the texts. */
    public static Test in(String column, String... values) {
      return new Test(column, List.of(values), false, Double.NaN, Double.NaN);
    }

    /** The column holds a number in the closed range. */
    public static Test between(String column, double least, double most) {
      return new Test(column, List.of(), false, least, most);
    }

    boolean byNumber() {
      return !Double.isNaN(least);
    }
  }

  private static final double TICKS_PER_MICROSECOND = 1e-2;
  private static final double TICKS_PER_SECOND = 10_000;

  /** Google ClusterData 2011, table task_events: 13 columns, times in microseconds, no header. */
  public static final Layout GOOGLE_2011 =
      new Layout(
          "google-2011",
          ',',
          false,
          List.of(
              "time",
              "missing_info",
              "job_id",
              "task_index",
              "machine_id",
              "event_type",
              "user",
              "scheduling_class",
              "priority",
              "cpu_request",
              "memory_request",
              "disk_space_request",
              "different_machines_restriction"),
          TICKS_PER_MICROSECOND,
          "time",
          null,
          "cpu_request",
          16,
          "memory_request",
          "job_id",
          "task_index",
          "user",
          null,
          new Pairing("event_type", List.of("1"), List.of("4"), List.of("2", "3", "5", "6")),
          List.of(),
          9.2e18);

  /**
   * Alibaba cluster trace 2018, table batch_task: 9 columns, times in seconds, no header; 100 is
   * one core.
   */
  public static final Layout ALIBABA_2018 =
      new Layout(
          "alibaba-2018",
          ',',
          false,
          List.of(
              "task_name",
              "instance_num",
              "job_name",
              "task_type",
              "status",
              "start_time",
              "end_time",
              "plan_cpu",
              "plan_mem"),
          TICKS_PER_SECOND,
          "start_time",
          "end_time",
          "plan_cpu",
          0.01,
          "plan_mem",
          "job_name",
          null,
          null,
          null,
          null,
          List.of(Test.in("status", "Terminated")),
          Double.MAX_VALUE);

  /** Azure public dataset 2019, table vmtable: 11 columns, times in seconds, no header. */
  public static final Layout AZURE_2019 =
      new Layout(
          "azure-2019",
          ',',
          false,
          List.of(
              "vm_id",
              "subscription_id",
              "deployment_id",
              "vm_created",
              "vm_deleted",
              "max_cpu",
              "avg_cpu",
              "p95_max_cpu",
              "vm_category",
              "vm_core_count_bucket",
              "vm_memory_bucket"),
          TICKS_PER_SECOND,
          "vm_created",
          "vm_deleted",
          "vm_core_count_bucket",
          1,
          "vm_memory_bucket",
          "deployment_id",
          null,
          "subscription_id",
          null,
          null,
          List.of(),
          Double.MAX_VALUE);

  /** The built-in layouts, in the order in which the help lists them. */
  public static final List<Layout> KNOWN = List.of(GOOGLE_2011, ALIBABA_2018, AZURE_2019);

  /** How many columns a row must have; -1 if a header names them. */
  int width() {
    return header ? -1 : columns.size();
  }
}
