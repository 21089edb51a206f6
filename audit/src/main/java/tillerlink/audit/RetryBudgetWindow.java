package tillerlink.audit;

import java.util.ArrayDeque;
import tillerlink.fleet.Fleet;

/** The requests and retries of one gateway within the retry budget's sliding window. */
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

  /** How many retries the requests in the window allow. */
  double allowedRetries() {
    return fleet.minRetries() + fleet.retryRatio() * requests.size();
  }

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
