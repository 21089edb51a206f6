package tillerlink.port;

import tillerlink.model.Attempt;
import tillerlink.model.Request;

/**
 * What the policy wants done by the gateway that runs it. Called on the event loop's thread. Times
 * are tenths of a millisecond, grants megabytes.
 */
public interface DispatchActions {
  /**
   * Changes the priority and the memory grant of a request.
   *
   * @param priority 0 to 3, the highest last; in force at once, also for attempts in flight
   * @param grant in force from the next attempt on; 0 leaves it to the engine
   */
  void updatePriorityAndGrant(Request request, int priority, long grant);

  /** Sends an attempt, with no time-out but the client's. */
  void sendAttempt(Attempt attempt);

  /** Cancels an attempt that was sent and has not ended. */
  void cancelAttempt(Attempt attempt);

  /**
   * Answers a request that certainly had no effect, or that may run again.
   *
   * @param retryAfter after which time the client should retry; 0 means no advice
   */
  void rejectRequest(Request request, long retryAfter);

  /** Answers a request that may have had an effect. */
  void failRequest(Request request);

  /** Asks for {@link DispatchPolicy#onWakeup} at that time; an earlier one replaces a later one. */
  void scheduleWakeup(long at);

  /** Asks to be notified of changes to the endpoint list from now on. */
  void watchEndpoints();

  /** Writes a line to the log. */
  void log(String line);
}
