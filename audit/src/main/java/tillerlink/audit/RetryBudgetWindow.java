package tillerlink.audit;

import java.util.ArrayDeque;
import tillerlink.fleet.Fleet;

/**
 * The requests and retries of one gateway within the retry budget's sliding window. Times are
 * tenths of a millisecond.
 */
final class RetryBudgetWindow {
  private final Fleet fleet;
  private final ArrayDeque<Long> requests = new ArrayDeque<>();
  private final ArrayDeque<Long> retries = new ArrayDeque<>();

  RetryBudgetWindow(Fleet fleet) {
    this.fleet = fleet;
  }

  void addRequest(long now) {
    requests.add(now);
    expire(requests, now);
  }

  void addRetry(long now) {
    retries.add(now);
    expire(retries, now);
    expire(requests, now);
  }

  int retries() {
    return retries.size();
  }

  /**
   * Returns the number of retries that the requests in the window allow, which may be fractional.
   */
  double allowedRetries() {
    return fleet.minRetries() + fleet.retryRatio() * requests.size();
  }

  /** Removes all requests and retries, after the gateway was killed. */
  void clear() {
    requests.clear();
    retries.clear();
  }

  private void expire(ArrayDeque<Long> times, long now) {
    while (!times.isEmpty() && times.peekFirst() <= now - fleet.retryBudgetWindow()) {
      times.pollFirst();
    }
  }
}
