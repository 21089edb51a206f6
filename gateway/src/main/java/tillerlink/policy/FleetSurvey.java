package tillerlink.policy;

import java.util.Arrays;

/**
 * Sums over the ready engines, as of the last survey of {@link ConcurrencyLimiter}. Used by the
 * event loop alone.
 */
final class FleetSurvey {
  /** Ready engines. */
  int ready;

  /** Ready engines that are no outliers. */
  int healthy;

  /** Ready engines that are overloaded or outliers. */
  int impaired;

  /** Ready engines with a recent load report. */
  int reporting;

  /** Cores of all ready engines. */
  double cores;

  /** Work that was asked for recently, of all request classes. */
  double offeredWork;

  /** Mean pace of the healthy engines, in multiples of the best; 1 while there is none. */
  double pace = 1;

  /** Mean utilization of the engines with a recent report, 0 to 1. */
  double utilization;

  private double paces;
  private final double[] limits = new double[2];
  private final double[] threads = new double[2];

  /** Begins a new survey. */
  void reset() {
    ready = 0;
    healthy = 0;
    impaired = 0;
    reporting = 0;
    paces = 0;
    utilization = 0;
    cores = 0;
    offeredWork = 0;
    Arrays.fill(limits, 0);
    Arrays.fill(threads, 0);
  }

  /** Counts the health of a ready engine. */
  void addHealth(boolean overloaded, boolean outlier, double enginePace) {
    impaired += overloaded || outlier ? 1 : 0;
    healthy += outlier ? 0 : 1;
    paces += outlier ? 0 : enginePace;
  }

  /** Counts the concurrency limit and the threads in use of a ready engine in its pool. */
  void addToPool(boolean overloaded, double limit, double threadsInUse) {
    limits[pool(overloaded)] += limit;
    threads[pool(overloaded)] += threadsInUse;
  }

  /** Works out the means. */
  void finish() {
    pace = healthy == 0 ? 1 : paces / healthy;
    utilization /= Math.max(1, reporting);
  }

  /** The limits of the overloaded engines, or those of the others, together. */
  double poolLimit(boolean overloaded) {
    return limits[pool(overloaded)];
  }

  /** The threads in use on the overloaded engines, or on the others, together. */
  double poolThreads(boolean overloaded) {
    return threads[pool(overloaded)];
  }

  private static int pool(boolean overloaded) {
    return overloaded ? 1 : 0;
  }
}
