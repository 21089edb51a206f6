package tillerlink.workload;

import java.util.List;
import java.util.Locale;
import tillerlink.trace.Task;

/**
 * The scaling of a trace to a fleet. The time of the trace is compressed or stretched, jobs are
 * sampled, and the work of each request class is scaled so that its median is the configured one.
 * Only the hash of a job decides whether it is sampled, so that either all its tasks are in the
 * sample or none, on every machine.
 */
public final class WorkloadScaling {
  /** The quantity that is adapted to reach the configured load. */
  public enum Scale {
    TIME,
    JOBS,
    BOTH
  }

  private static final double MIN_WORK = 20;
  private static final double HASH_RANGE = 0x1p53;

  /**
   * The exponent of an even split with the scale BOTH: time is compressed by the square root of the
   * whole factor, and the share of jobs takes the other half.
   */
  private static final double EVEN_SPLIT_EXPONENT = 0.5;

  private final List<RequestClassSpec> requestClasses;
  private final double[] factors;
  private final long firstStart;

  /** The units of trace time per unit of replayed time. */
  private final double timeCompression;

  private final double jobShare;
  private final double memoryPerSecond;
  private final double load;

  private WorkloadScaling(
      List<RequestClassSpec> requestClasses,
      double[] factors,
      long firstStart,
      double timeCompression,
      double jobShare,
      double memoryPerSecond,
      double load) {
    this.requestClasses = requestClasses;
    this.factors = factors;
    this.firstStart = firstStart;
    this.timeCompression = timeCompression;
    this.jobShare = jobShare;
    this.memoryPerSecond = memoryPerSecond;
    this.load = load;
  }

  /**
   * Computes the scaling.
   *
   * @param cores the number of cores of the fleet
   * @param load the share of the fleet's cores that the work should take
   * @param jobs the share of jobs in the sample with the scale BOTH; 0 splits the factor evenly
   * @param memoryPerSecond the memory for each second of work on one core, in megabytes
   * @throws IllegalArgumentException if the load cannot be reached; the message contains the reason
   */
  public static WorkloadScaling of(
      TraceSurvey survey,
      List<RequestClassSpec> requestClasses,
      double cores,
      double load,
      Scale scale,
      double jobs,
      double memoryPerSecond) {
    double[] factors = new double[requestClasses.size()];
    double work = 0;
    for (int i = 0; i < factors.length; i++) {
      RequestClassSpec requestClass = requestClasses.get(i);
      factors[i] = requestClass.median() / survey.median(i);
      work += survey.scaled(i, factors[i], MIN_WORK, requestClass.maxWork());
    }
    if (work == 0) {
      throw new IllegalArgumentException("no task of the trace matches a track");
    }
    double traceLoad = work / (survey.span() * cores);
    double needed = load / traceLoad;
    double timeCompression;
    double share;
    switch (scale) {
      case TIME -> {
        timeCompression = needed;
        share = 1;
      }
      case JOBS -> {
        timeCompression = 1;
        share = needed;
        if (share > 1) {
          throw new IllegalArgumentException(
              String.format(
                  Locale.ROOT,
                  "trace load %.4f is below %.4f; sampling jobs cannot increase it, so scale time",
                  traceLoad,
                  load));
        }
      }
      default -> {
        share = jobs > 0 ? jobs : needed > 1 ? 1 : Math.pow(needed, EVEN_SPLIT_EXPONENT);
        timeCompression = needed / share;
      }
    }
    return new WorkloadScaling(
        requestClasses, factors, survey.first(), timeCompression, share, memoryPerSecond, load);
  }

  /**
   * Returns the arrival of the request that a task is mapped to.
   *
   * @param tableGroups the number of groups of tables
   * @return null if the task's job is not in the sample, or if the task belongs to no request class
   */
  public Arrival map(Task task, int tableGroups) {
    if (task.kind() < 0 || !sampled(task.job())) {
      return null;
    }
    RequestClassSpec requestClass = requestClasses.get(task.kind());
    double work =
        Math.min(requestClass.maxWork(), Math.max(MIN_WORK, task.work() * factors[task.kind()]));
    long at = Math.max(0, (long) ((task.start() - firstStart) / timeCompression));
    double memory =
        Math.max(
            1,
            Math.rint(
                work / 10_000 * memoryPerSecond * (0.5 + (task.owner() >>> 40 & 255) / 256.0)));
    int group = (int) Long.remainderUnsigned(task.owner(), tableGroups);
    return new Arrival(
        at, task.number(), task.kind(), work, memory, group, task.job() * 31 + task.number());
  }

  /**
   * Returns whether a job is in the sample.
   *
   * @param job the hash of the job
   */
  public boolean sampled(long job) {
    return (job >>> 11) / HASH_RANGE < jobShare;
  }

  /** Returns the units of trace time per unit of replayed time. */
  public double timeCompression() {
    return timeCompression;
  }

  /** Returns the share of jobs in the sample. */
  public double jobShare() {
    return jobShare;
  }

  /** Returns the share of the fleet's cores that the work should take. */
  public double load() {
    return load;
  }

  /** Returns the factor on the work of a request class. */
  public double factor(int requestClass) {
    return factors[requestClass];
  }
}
