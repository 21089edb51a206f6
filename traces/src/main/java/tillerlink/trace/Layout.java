package tillerlink.trace;

import java.util.List;

/**
 * The layout of a trace: how the columns of its rows are read. Columns are identified by name. The
 * names come from the header of the file or, if it has none, from this layout.
 *
 * @param name the name of the layout
 * @param delimiter the character between columns
 * @param header whether the first line of each file contains the names of its columns
 * @param columns the names of the columns in the order of the file; with a header, only those that
 *     are used are required
 * @param tenthsPer the number of tenths of a millisecond in the file's unit of time
 * @param start the column of the start, or of the time of an event where rows are paired
 * @param end the column of the end, or null
 * @param cores the column of the requested cores, or null if each task has one core
 * @param coresPer the number of cores in the file's unit
 * @param memory the column of the memory, or null
 * @param job the column of the job's name
 * @param task the column that, with the job, identifies the task where rows are paired, or null
 * @param owner the column of the user, or null if the job is the owner
 * @param copies the column of the number of times that the row ran, or null
 * @param pairing how start rows and end rows are recognized, or null if each row is a whole task
 * @param wanted the tests that a row must pass to be used
 * @param unknownTime the smallest value, in the file's unit, that marks an unknown time; some
 *     traces mark unknown times by a very large number
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
  /**
   * The values of an event column by which start rows and end rows are recognized.
   *
   * @param column the column of the event
   * @param starts the events that start a task
   * @param ends the events that complete a task
   * @param breaks the events that abort a task
   */
  public record Pairing(
      String column, List<String> starts, List<String> ends, List<String> breaks) {}

  /**
   * A test on a column: whether it is one of several texts, or a number within a closed range.
   *
   * @param column the name of the column
   * @param values the texts; empty if the number is tested
   * @param not whether the test must not match
   * @param least the smallest number in the range; NaN if the text is tested
   * @param most the largest number in the range; NaN if the text is tested
   */
  public record Test(String column, List<String> values, boolean not, double least, double most) {
    /** Returns a test that the column is one of the texts. */
    public static Test in(String column, String... values) {
      return new Test(column, List.of(values), false, Double.NaN, Double.NaN);
    }

    /** Returns a test that the column is a number within the closed range. */
    public static Test between(String column, double least, double most) {
      return new Test(column, List.of(), false, least, most);
    }

    /** Returns whether the number is tested, instead of the text. */
    boolean byNumber() {
      return !Double.isNaN(least);
    }
  }

  private static final double TENTHS_PER_US = 1e-2;
  private static final double TENTHS_PER_S = 10_000;

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
          TENTHS_PER_US,
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
          TENTHS_PER_S,
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
          TENTHS_PER_S,
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

  /** Returns the number of columns of a row, or -1 if a header defines the columns. */
  int width() {
    return header ? -1 : columns.size();
  }
}
