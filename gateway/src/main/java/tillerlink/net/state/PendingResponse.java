package tillerlink.net.state;

import java.util.ArrayList;
import java.util.List;
import tillerlink.model.KeyedRequestQueue;
import tillerlink.model.Request;
import tillerlink.net.wire.ClientAnswer;
import tillerlink.net.wire.SubmitRequest;

/**
 * A request from its client's point of view: the connection that waits for the answer, and the
 * answer once there is one. Confined to the event-loop thread; all times are tenths of a
 * millisecond.
 */
final class PendingResponse {
  /** The request as the client submitted it. */
  final SubmitRequest submitted;

  /** The request as the policy sees it. */
  final Request request;

  /** The attempts that were ordered for this request, by their numbers, including ended ones. */
  final List<InFlightAttempt> attempts = new ArrayList<>(1);

  /** The client connection that waits for the answer, or null. */
  ClientConnection waitingConnection;

  /** The connection at which its client is expected, or null if there is none. */
  AttendedRequests attendant;

  /** A client connection was told the path of the result. */
  boolean pathAnnounced;

  /**
   * The final answer, or null. It is retained for a while because a client whose connection broke
   * may fetch it again.
   */
  ClientAnswer answer;

  /** The answer was passed to a client connection. */
  boolean delivered;

  /** Decides whether attempts of this request may be written; null if they always may. */
  GatewayExtension.Guard guard;

  /** The client cancelled the request, or disconnected before the submission was answered. */
  boolean cancelled;

  /** The time from which the retention period of the request counts. */
  long retentionStart;

  /** The number of client connections to which the answer is being sent. */
  int activeDeliveries;

  /** The bytes of memory that are reserved for it, see {@link RequestReservations}. */
  long reservedBytes;

  /** The attempt in flight whose result that memory includes, or null. */
  InFlightAttempt attemptInReservation;

  /**
   * Creates a request that has no answer.
   *
   * @param classIndex the index of the request class in the settings
   * @param arrivedAt the earliest time at which the request may have arrived, from which its
   *     deadline counts
   * @param queue the requests with the same key, if its class preserves their order; or null
   */
  PendingResponse(
      SubmitRequest submitted, int classIndex, long arrivedAt, KeyedRequestQueue queue) {
    this.submitted = submitted;
    request =
        new Request(
            this,
            classIndex,
            submitted.tableGroup(),
            submitted.resent(),
            arrivedAt,
            arrivedAt + submitted.timeLimit(),
            submitted.estimate(),
            submitted.memory(),
            queue);
    retentionStart = request.clientDeadline;
  }

  /** Returns the correlation id that the client chose. */
  String id() {
    return submitted.id();
  }

  /** Records that its client is no longer expected at the connection at which it was. */
  void leaveAttendant() {
    if (attendant != null) {
      attendant.remove(this);
      attendant = null;
    }
  }

  /**
   * Returns whether input of its client may wait that was not read. It may end with a close of the
   * connection, so that no attempt may begin.
   */
  boolean mayHaveUnreadInput() {
    return attendant != null && attendant.mayHaveUnreadInput();
  }

  /** Returns whether an attempt of the request is in flight. */
  boolean hasAttemptInFlight() {
    return attempts.stream().anyMatch(inFlight -> inFlight.attempt.isInFlight());
  }

  /** Returns whether an engine may have executed the request. */
  boolean mayHaveRun() {
    return attempts.stream().anyMatch(inFlight -> inFlight.attempt.mayHaveRun());
  }

  /** Returns whether the request has its final answer or was cancelled. */
  boolean isSettled() {
    return answer != null || cancelled;
  }
}
