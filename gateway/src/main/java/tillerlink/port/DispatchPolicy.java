package tillerlink.port;

import java.util.List;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Request;

/**
 * The dispatch policy of one gateway. It receives the gateway's events in the order in which they
 * happened, on the event-loop thread. Times are tenths of a millisecond. {@link #applyDecisions} is
 * called once after the last event of each moment; the policy calls {@link DispatchActions} only
 * then. A load report is an array of numbers in the order of the setting {@code report.fields}, or
 * null.
 */
public interface DispatchPolicy {
  /**
   * Called when the endpoint list changed.
   *
   * @param now the current time
   * @param complete whether the entries are the complete list, so that engines without an entry are
   *     gone
   * @param entries the changed entries, or all entries if {@code complete}
   */
  void onEndpointsChanged(long now, boolean complete, List<EndpointUpdate> entries);

  /**
   * Called when the endpoint list becomes unknown or known again. It is unknown while there is
   * none, or while the last one is too old to be trusted.
   *
   * @param now the current time
   * @param unknown whether the list is unknown from now on
   */
  void onEndpointsUnknown(long now, boolean unknown);

  /**
   * Called when the trust in the endpoint list changed, before the change takes effect.
   *
   * @param now the current time
   * @param state the new state of the list
   * @param usableUntil the time before which new attempts may be written; in the past if none may
   */
  default void onEndpointListStateChanged(long now, EndpointListState state, long usableUntil) {
    // Where lists are pushed, the last list remains valid, so there is nothing to change.
  }

  /** Called when a poll of the endpoint list failed or its watch was interrupted. */
  void onEndpointPollFailed(long now);

  /** Called when a request was accepted. */
  void onRequestArrived(long now, Request request);

  /** Called when the response to a client started. */
  void onResponseStarted(long now, Attempt attempt);

  /**
   * Called when an engine reported the progress of an attempt in flight.
   *
   * @param now the current time
   * @param attempt the attempt
   * @param progress the kind of the report
   * @param level the completed share, 0 to 1, for {@link AttemptProgress#PROGRESS}; not used
   *     otherwise
   */
  void onAttemptProgress(long now, Attempt attempt, AttemptProgress progress, double level);

  /**
   * Called when an attempt ended.
   *
   * @param now the current time
   * @param attempt the attempt
   * @param outcome the outcome of the attempt
   * @param duration the time from sending to the end
   * @param answered whether the client has its final answer
   * @param work the measured work in tenths of a millisecond; 0 if the engine did not report it
   * @param memory the memory used in MB; 0 if the engine did not report it
   * @param report the load report of the engine, or null
   */
  void onAttemptEnded(
      long now,
      Attempt attempt,
      AttemptOutcome outcome,
      long duration,
      boolean answered,
      double work,
      double memory,
      double[] report);

  /** Called when the client disconnected and no longer needs an answer. */
  void onClientDisconnected(long now, Request request);

  /**
   * Called when no client waits for the answer any more, although the client may ask for it again,
   * and when it asks again.
   *
   * @param now the current time
   * @param request the request
   * @param unattended whether no client waits for the answer from now on
   */
  default void onClientAttendanceChanged(long now, Request request, boolean unattended) {
    // Where clients do not wait on a connection, there is nothing to report.
  }

  /**
   * Checks whether an attempt may be written. Called immediately before the write, because that may
   * be long after the decision to send the attempt. An attempt that is not allowed ends with {@link
   * AttemptOutcome#NOT_SENT}.
   *
   * @param now the current time
   * @param attempt the attempt
   * @return {@link SendVerdict#ALLOWED}, or the reason against the write
   */
  default SendVerdict checkWrite(long now, Attempt attempt) {
    return attempt.request.outcome == null ? SendVerdict.ALLOWED : SendVerdict.REQUEST_ENDED;
  }

  /**
   * Returns the deadline for the write of an attempt that may be written now. If its first byte has
   * not been sent by then, the attempt must not be sent at all.
   *
   * @param now the current time
   * @param attempt the attempt
   * @return the deadline, in tenths of a millisecond
   */
  default long writeDeadline(long now, Attempt attempt) {
    return attempt.request.clientDeadline;
  }

  /**
   * Called when the gateway shuts down and cannot wait any longer: the request gets its final
   * answer now.
   */
  void onShutdownDeadline(long now, Request request);

  /** Called at the time scheduled by {@link DispatchActions#scheduleWakeup}. */
  void onWakeup(long now);

  /** Reviews what is due after the events of this moment, and calls the resulting actions. */
  void applyDecisions(long now);
}
