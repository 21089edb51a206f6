package tillerlink.policy;

import tillerlink.model.SlidingSum;

/**
 * The share of attempts that may be retries, over a sliding period. Times are tenths of a
 * millisecond. Used by the event loop alone.
 */
final class RetryBudget {
  private final double floor;
  private final double ratio;

  /** Both null if no budget is set. */
  private final SlidingSum requests;

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

  /** Whether one more retry may be placed. */
  boolean allowsAnother(long now) {
    return allows(now, 1);
  }

  /** Whether the retries that were placed are within the budget. */
  boolean isKept(long now) {
    return allows(now, 0);
  }

  private boolean allows(long now, int more) {
    return retries == null
        || retries.upperBound(now) + more <= floor + ratio * requests.lowerBound(now);
  }
}
