package tillerlink.port;

import tillerlink.model.Attempt;
import tillerlink.model.Request;

/**
 * The actions that a dispatch policy requests from the gateway that runs it. Called on the
 * event-loop thread. Times are tenths of a millisecond, memory grants are megabytes.
 */
public interface DispatchActions {
  /**
   * Changes the priority and the memory grant of a request.
   *
   * @param request the request
   * @param priority 0 to 3, 3 being the highest; applies at once, also to attempts in flight
   * @param grant memory in megabytes; applies from the next attempt on; 0 leaves it to the engine
   */
  void updatePriorityAndGrant(Request request, int priority, long grant);

  /** Sends an attempt. Its only time-out is the client's deadline. */
  void sendAttempt(Attempt attempt);

  /** Cancels an attempt that was sent and is still in flight. */
  void cancelAttempt(Attempt attempt);

  /**
   * Answers a request that certainly had no effect, or that may be executed again.
   *
   * @param request the request
   * @param retryAfter the time after which the client should retry; 0 gives no advice
   */
  void rejectRequest(Request request, long retryAfter);

  /** Answers a request that failed and may have had an effect. */
  void failRequest(Request request);

  /**
   * Schedules a call of {@link DispatchPolicy#onWakeup}. An earlier time replaces a later one.
   *
   * @param at the time of the call, in tenths of a millisecond
   */
  void scheduleWakeup(long at);

  /** Starts watching the endpoint list: the policy is notified of its changes from now on. */
  void watchEndpoints();

  /** Writes a line to the log. */
  void log(String line);
}
