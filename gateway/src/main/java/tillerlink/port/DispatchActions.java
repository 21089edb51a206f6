package tillerlink.port;

import tillerlink.model.Attempt;
import tillerlink.model.Request;

/** What the module wants done. Times are tenths of a millisecond, grants megabytes. */
public interface DispatchActions {
  /**
   * Priority (at once, also for attempts that are out) and memory grant (from the next attempt on;
   * 0: the engine's own).
   */
  void updatePriorityAndGrant(Request request, int rank, long grant);

  /** Sends an attempt, with no time-out but the client's. */
  void sendAttempt(Attempt attempt);

  void cancelAttempt(Attempt attempt);

  /**
   * @param retryAfter how long the client should stay away; 0 means no advice
   */
  void rejectRequest(Request request, long retryAfter);

  void failRequest(Request request);

  void scheduleWakeup(long at);

  /** Asks to be told of changes to the endpoint list from now on. */
  void watchEndpoints();

  void log(String line);
}
