package tillerlink.port;

import java.util.List;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Request;
import tillerlink.policy.EndpointListState;
import tillerlink.policy.SendVerdict;

/**
 * The events of one gateway, passed to its policy in the order in which they happened, on the event
 * loop's thread. Times are tenths of a millisecond. After the last of the events of one moment,
 * {@link #applyDecisions} is called once; only then does the policy call {@link DispatchActions}. A
 * load report is a row of numbers in the order of the setting {@code report.fields}, or null.
 */
public interface DispatchPolicy {
  /** The endpoint list changed; {@code whole} means that engines not in it are gone. */
  void onEndpointsChanged(long now, boolean whole, List<EndpointUpdate> entries);

  /**
   * There is no endpoint list, or it is too old to be trusted; or that is over.
   *
   * @param unknown whether it is so from now on
   */
  void onEndpointsUnknown(long now, boolean unknown);

  /**
   * How far the endpoint list may be trusted; called before that has any effect.
   *
   * @param usableUntil new attempts may be written before that moment; in the past if none may
   */
  default void onEndpointListStateChanged(long now, EndpointListState state, long usableUntil) {
    // Where lists are pushed, the last one remains valid.
  }

  /** A poll of the endpoint list failed, or its watch broke. */
  void onEndpointPollFailed(long now);

  /** A request was accepted. */
  void onRequestArrived(long now, Request request);

  /** The response began to reach the client. */
  void onResponseStarted(long now, Attempt attempt);

  /**
   * An engine reported on an attempt in flight.
   *
   * @param level the share that is done, for {@link AttemptProgress#PROGRESS}
   */
  void onAttemptProgress(long now, Attempt attempt, AttemptProgress progress, double level);

  /**
   * An attempt ended.
   *
   * @param duration time from the sending to the end
   * @param answered the client has its final answer
   * @param work true work in tenths of a millisecond, 0 if not reported
   * @param memory memory that was needed in MB, 0 if not reported
   * @param report load report of the engine, or null
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

  /** The client disconnected; it needs no answer any more. */
  void onClientDisconnected(long now, Request request);

  /**
   * Nobody waits for the answer, though the client may ask for it again; or it has.
   *
   * @param unattended whether nobody waits from now on
   */
  default void onClientAttendanceChanged(long now, Request request, boolean unattended) {
    // Where clients wait on no connection there is nothing to report.
  }

  /**
   * Called right before an attempt is written, since that may be long after it was decided on.
   * Unless it is allowed, it ends as one that was not sent.
   */
  default SendVerdict checkWrite(long now, Attempt attempt) {
    return attempt.request.outcome == null ? SendVerdict.ALLOWED : SendVerdict.REQUEST_ENDED;
  }

  /**
   * Until when the first byte of an attempt may go out that may be written now; later it must not
   * go out at all.
   */
  default long writeDeadline(long now, Attempt attempt) {
    return attempt.request.clientDeadline;
  }

  /** The gateway shuts down and can't wait any longer: the request gets its final answer now. */
  void onShutdownDeadline(long now, Request request);

  /** The time asked for by {@link DispatchActions#scheduleWakeup} has come. */
  void onWakeup(long now);

  /** Reviews what is due after the events of this moment, and calls the actions that follow. */
  void applyDecisions(long now);
}
