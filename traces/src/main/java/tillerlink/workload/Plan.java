package tillerlink.workload;

import java.util.List;
import tillerlink.trace.Task;

/**
 * How a trace is scaled to a fleet: its time is pressed together or drawn out, jobs are sampled,
 * and the work of each request class is scaled so that its median is what the request class states.
 * Whether a job is in is told by its hash alone, so it is in or out whole, and the same ones are in
 * whatever machine replays it.
 */
public final class Plan {
  /** What gives way for the load to come out as stated. */
  public enum Scale {
    TIME,
    JOBS,
    BOTH
  }

  private static final double WORK_LEAST = 20;
  private static final double HASHES = 0x1p53;

  /** With both, time is pressed by the square root of what is needed in all. */
  private static final double EVEN = 0.5;

  private final List<RequestClassSpec> requestClasses;
  private final double[] factors;
  private final long first;

  /** Trace time in a unit of replayed time. */
  private final double press;

  private final double share;
  private final double memoryPer;
  private final double load;

  private Plan(
      List<RequestClassSpec> requestClasses,
      double[] factors,
      long first,
      double press,
      double share,
      double memoryPer,
      double load) {
    this.requestClasses = requestClasses;
    this.factors = factors;
    this.first = first;
    this.press = press;
    this.share = share;
    this.memoryPer = memoryPer;
    this.load = load;
  }

  /**
   * @param load the share of the fleet's cores that the work is to take
   * @param jobs the share of jobs that is in when both give way; 0 shares it evenly
   * @param memoryPer megabytes for each second of work on one core
   * @throws IllegalArgumentException if the load can't be reached so; the message says why
   */
  public static Plan of(
      Survey survey,
      List<RequestClassSpec> requestClasses,
      double cores,
      double load,
      Scale scale,
      double jobs,
      double memoryPer) {
    double[] factors = new double[requestClasses.size()];
    double work = 0;
    for (int i = 0; i < factors.length; i++) {
      RequestClassSpec requestClass = requestClasses.get(i);
      factors[i] = requestClass.median() / survey.median(i);
      work += survey.scaled(i, factors[i], WORK_LEAST, requestClass.workMost());
    }
    if (work == 0) {
      throw new IllegalArgumentException("no task of the trace fits a track");
    }
    double own = work / (survey.span() * cores);
    double needed = load / own;
    double press;
    double share;
    switch (scale) {
      case TIME -> {
        press = needed;
        share = 1;
      }
      case JOBS -> {
        press = 1;
        share = needed;
        if (share > 1) {
          throw new IllegalArgumentException(
              String.format(
                  java.util.Locale.ROOT,
                  "the trace loads the fleet to %.4f only; sampling jobs can't raise that, so scale"
                      + " time",
                  own));
        }
      }
      default -> {
        share = jobs > 0 ? jobs : needed > 1 ? 1 : Math.pow(needed, EVEN);
        press = needed / share;
      }
    }
    return new Plan(requestClasses, factors, survey.first(), press, share, memoryPer, load);
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
        Math.min(requestClass.workMost(), Math.max(WORK_LEAST, task.work() * factors[task.kind()]));
    long at = Math.max(0, (long) ((task.start() - first) / press));
    double memory =
        Math.max(
            1, Math.rint(work / 10_000 * memoryPer * (0.5 + (task.owner() >>> 40 & 255) / 256.0)));
    int group = (int) Long.remainderUnsigned(task.owner(), tableGroups);
    return new Arrival(
        at, task.number(), task.kind(), work, memory, group, task.job() * 31 + task.number());
  }

  public boolean sampled(long job) {
    return (job >>> 11) / HASHES < share;
  }

  public double press() {
    return press;
  }

  public double share() {
    return share;
  }

  public double load() {
    return load;
  }

  /** What a request class's work is multiplied by. */
  public double factor(int requestClass) {
    return factors[requestClass];
  }
}
