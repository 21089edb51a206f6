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
 * What happens to one gateway, told to the module in the order in which it happened. Times are
 * tenths of a millisecond. After the last of the events of one moment, {@link #applyDecisions} is
 * called once; only then does the module give {@link DispatchActions}. A report is a row of numbers
 * in the order of the setting {@code report.fields}, or null.
 */
public interface DispatchPolicy {
  /** The endpoint list changed; {@code whole} means that engines not in it are gone. */
  void onEndpointsChanged(long now, boolean whole, List<EndpointUpdate> entries);

  /** Nothing is known of any engine, or what is known is too old to trust; or that is over. */
  void onEndpointsUnknown(long now, boolean on);

  /**
   * How far the list may be trusted, told before it changes anything.
   *
   * @param usableUntil new attempts may be written before that moment; in the past if none may
   */
  default void onEndpointListStateChanged(long now, EndpointListState state, long usableUntil) {
    // Where lists are pushed, the last one holds.
  }

  /** A call to the endpoint list failed, or the subscription broke. */
  void onEndpointPollFailed(long now);

  void onRequestArrived(long now, Request request);

  /** The answer began to reach the client. */
  void onResponseStarted(long now, Attempt attempt);

  void onAttemptProgress(long now, Attempt attempt, AttemptProgress note, double level);

  /**
   * An attempt ended.
   *
   * @param answered the client has its final answer
   * @param work true work in tenths of a millisecond, 0 if not told
   * @param memory memory that was needed in MB, 0 if not told
   */
  void onAttemptEnded(
      long now,
      Attempt attempt,
      AttemptOutcome outcome,
      long lag,
      boolean answered,
      double work,
      double memory,
      double[] report);

  /** The client went; nothing is owed any more. */
  void onClientDisconnected(long now, Request request);

  /** Nobody waits for the answer, though the client may call for it again; or it has. */
  default void onClientAttendanceChanged(long now, Request request, boolean on) {
    // Where clients wait on no connection there is nothing to hear.
  }

  /**
   * Asked right before an attempt is written, for that may be long after it was ordered. Unless it
   * is allowed, it ends as one that was never sent.
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

  /** The gateway ends and can't wait for it any longer: it gets its final answer now. */
  void onShutdownDeadline(long now, Request request);

  /** A time asked for by {@link DispatchActions#scheduleWakeup} has come. */
  void onWakeup(long now);

  void applyDecisions(long now);
}
