package tillerlink.net.state;

import java.util.ArrayList;
import java.util.List;
import tillerlink.model.KeyedRequestQueue;
import tillerlink.model.Request;
import tillerlink.net.wire.HttpResponse;
import tillerlink.net.wire.SubmitRequest;

/**
 * A request as its client sees it: where it waits, and its answer once there is one. Owned by the
 * event-loop thread.
 */
final class PendingResponse {
  final SubmitRequest submitted;
  final Request request;
  final List<InFlightAttempt> inFlightAttempts = new ArrayList<>(1);

  /** The client's connection that waits for the answer, or null. */
  ClientConnection waiting;

  /** The final answer, retained for a while for a client whose connection broke. */
  HttpResponse answer;

  boolean handedOut;

  /** Decides whether its attempts may be written, or null. */
  GatewayExtension.Guard guard;

  boolean left;
  long forgetAt;

  /**
   * @param arrivedAt when it may have come at the earliest: its client's time counts from then
   * @param line those about the same, of request classes that keep their order; or null
   */
  PendingResponse(SubmitRequest submitted, int classIndex, long arrivedAt, KeyedRequestQueue line) {
    this.submitted = submitted;
    request =
        new Request(
            this,
            classIndex,
            submitted.tableGroup(),
            submitted.repeat(),
            arrivedAt,
            arrivedAt + submitted.patience(),
            submitted.estimate(),
            submitted.memory(),
            line);
    forgetAt = request.clientDeadline;
  }

  /** The id by which the client correlates its request. */
  String id() {
    return submitted.id();
  }

  /** Whether the client is owed nothing more. */
  boolean settled() {
    return answer != null || left;
  }
}
