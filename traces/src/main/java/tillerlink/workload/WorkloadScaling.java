package tillerlink.workload;

import java.util.List;
import java.util.Locale;
import tillerlink.trace.Task;

/**
 * How a trace is scaled to a fleet: its time is compressed or stretched, jobs are sampled, and the
 * work of each request class is scaled so that its median is what the request class states. A job's
 * hash alone decides whether it is sampled, so that all its tasks are in or out, on every machine.
 */
public final class WorkloadScaling {
  /** What is adapted to reach the stated load. */
  public enum Scale {
    TIME,
    JOBS,
    BOTH
  }

  private static final double MIN_WORK = 20;
  private static final double HASH_RANGE = 0x1p53;

  /** With both, time is compressed by the square root of the whole factor. */
  private static final double EVEN_EXPONENT = 0.5;

  private final List<RequestClassSpec> requestClasses;
  private final double[] factors;
  private final long firstStart;

  /** Units of trace time per unit of replayed time. */
  private final double timeCompression;

  private final double jobShare;
  private final double memoryPerSecond;
  private final double load;

  private WorkloadScaling(
      List<RequestClassSpec> requestClasses,
      double[] factors,
      long first,
      double timeCompression,
      double share,
      double memoryPerSecond,
      double load) {
    this.requestClasses = requestClasses;
    this.factors = factors;
    this.firstStart = first;
    this.timeCompression = timeCompression;
    this.jobShare = share;
    this.memoryPerSecond = memoryPerSecond;
    this.load = load;
  }

  /**
   * Computes the scaling.
   *
   * @param load the share of the fleet's cores that the work is to take
   * @param jobs the share of jobs when both are adapted; 0 splits the factor evenly
   * @param memoryPerSecond megabytes for each second of work on one core
   * @throws IllegalArgumentException if the load can't be reached; the message says why
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
      throw new IllegalArgumentException("no task of the trace fits a track");
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
                  "the trace loads the fleet to %.4f only; sampling jobs can't raise that, so scale"
                      + " time",
                  traceLoad));
        }
      }
      default -> {
        share = jobs > 0 ? jobs : needed > 1 ? 1 : Math.pow(needed, EVEN_EXPONENT);
        timeCompression = needed / share;
      }
    }
    return new WorkloadScaling(
        requestClasses, factors, survey.first(), timeCompression, share, memoryPerSecond, load);
  }

  /**
   * The request that a task becomes, or null if its job is not in the sample or it fits no request
   * class.
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

  /** Whether a job is in the sample. */
  public boolean sampled(long job) {
    return (job >>> 11) / HASH_RANGE < jobShare;
  }

  public double timeCompression() {
    return timeCompression;
  }

  public double jobShare() {
    return jobShare;
  }

  public double load() {
    return load;
  }

  /** The factor on the work of a request class. */
  public double factor(int requestClass) {
    return factors[requestClass];
  }
}
