package tillerlink.policy;

import java.util.Arrays;

/**
 * Sums over the ready engines, as of the last survey by {@link ConcurrencyLimiter}. Used only by
 * the event loop's thread.
 */
final class FleetSurvey {
  /** Number of ready engines. */
  int readyEngines;

  /** Number of ready engines that are not outliers. */
  int healthyEngines;

  /** Number of ready engines that are overloaded or outliers. */
  int impairedEngines;

  /** Number of ready engines with a recent load report. */
  int reportingEngines;

  /** Cores of all ready engines. */
  double cores;

  /**
   * Work that clients recently requested, of all request classes, in tenths of a millisecond of
   * thread time.
   */
  double offeredWork;

  /**
   * Mean pace of the healthy engines, in multiples of the best pace; 1 if there are no healthy
   * engines.
   */
  double meanPace = 1;

  /**
   * Mean utilization of the engines with a recent report, 0 to 1; their sum until {@link
   * #computeMeans} is called.
   */
  double meanUtilization;

  private double paceSum;
  private final double[] limitsByPool = new double[2];
  private final double[] threadsByPool = new double[2];

  /** Starts a new survey. */
  void reset() {
    readyEngines = 0;
    healthyEngines = 0;
    impairedEngines = 0;
    reportingEngines = 0;
    paceSum = 0;
    meanUtilization = 0;
    cores = 0;
    offeredWork = 0;
    Arrays.fill(limitsByPool, 0);
    Arrays.fill(threadsByPool, 0);
  }

  /**
   * Counts a ready engine by its health.
   *
   * @param enginePace its pace in multiples of the best pace
   */
  void addHealth(boolean overloaded, boolean outlier, double enginePace) {
    impairedEngines += overloaded || outlier ? 1 : 0;
    healthyEngines += outlier ? 0 : 1;
    paceSum += outlier ? 0 : enginePace;
  }

  /** Adds the concurrency limit and the threads in use of a ready engine to its pool. */
  void addToPool(boolean overloaded, double limit, double threadsInUse) {
    limitsByPool[poolIndex(overloaded)] += limit;
    threadsByPool[poolIndex(overloaded)] += threadsInUse;
  }

  /** Computes the means from the sums, at the end of a survey. */
  void computeMeans() {
    meanPace = healthyEngines == 0 ? 1 : paceSum / healthyEngines;
    meanUtilization /= Math.max(1, reportingEngines);
  }

  /** Returns the sum of the concurrency limits of the overloaded engines, or of the others. */
  double poolLimit(boolean overloaded) {
    return limitsByPool[poolIndex(overloaded)];
  }

  /** Returns the number of threads in use on the overloaded engines, or on the others. */
  double poolThreads(boolean overloaded) {
    return threadsByPool[poolIndex(overloaded)];
  }

  private static int poolIndex(boolean overloaded) {
    return overloaded ? 1 : 0;
  }
}
