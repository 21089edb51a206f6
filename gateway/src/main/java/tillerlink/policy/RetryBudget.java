package tillerlink.policy;

import tillerlink.model.SlidingSum;

/**
 * Limits the share of attempts that may be retries, over a sliding period. Times are tenths of a
 * millisecond. Used only by the event loop's thread.
 */
final class RetryBudget {
  private final double floor;
  private final double ratio;

  /** Number of requests in the period; null if no budget is set. */
  private final SlidingSum requests;

  /** Number of retries in the period; null if no budget is set. */
  private final SlidingSum retries;

  RetryBudget(PolicyConfig config) {
    floor = config.retryBudgetFloor;
    ratio = config.retryBudgetRatio;
    requests = slidingSum(config.retryBudgetPeriod);
    retries = slidingSum(config.retryBudgetPeriod);
  }

  private static SlidingSum slidingSum(long period) {
    return period > 0 ? new SlidingSum(period, EngineRegistry.SUM_SLICES) : null;
  }

  /** Counts a request that arrived. */
  void recordRequest(long now) {
    if (requests != null) {
      requests.add(now, 1);
    }
  }

  /** Counts a retry that is placed. */
  void recordRetry(long now) {
    if (retries != null) {
      retries.add(now, 1);
    }
  }

  /** Returns whether the budget allows one more retry to be placed. */
  boolean allowsAnother(long now) {
    return allows(now, 1);
  }

  /** Returns whether the retries that were placed are within the budget. */
  boolean isWithinBudget(long now) {
    return allows(now, 0);
  }

  private boolean allows(long now, int additionalRetries) {
    return retries == null
        || retries.upperBound(now) + additionalRetries <= floor + ratio * requests.lowerBound(now);
  }
}
