package tillerlink.net.state;

import tillerlink.net.wire.SubmitRequest;

/**
 * The memory reserved for each accepted request, from its acceptance until it is removed from the
 * registry. While a request is open, the largest result is reserved for it, so that the results of
 * all accepted requests fit at the same time. Confined to the event-loop thread.
 */
final class RequestReservations {
  /** The memory of a request apart from its statement and its result, with all its attempts. */
  static final int REQUEST_OVERHEAD_BYTES = 4096;

  /** The request itself and the command that carries it to an engine each hold the statement. */
  private static final int STATEMENT_COPIES = 2;

  private final RetainedBytes retained;

  RequestReservations(RetainedBytes retained) {
    this.retained = retained;
  }

  /**
   * Reserves the memory of a request that is about to be accepted.
   *
   * @return false if it does not fit
   */
  boolean tryReserve(SubmitRequest submitted) {
    return retained.tryReserve(openBytes(submitted));
  }

  /** Assigns the memory that {@link #tryReserve} has reserved to the accepted request. */
  void assign(PendingResponse pending) {
    pending.reservedBytes = openBytes(pending.submitted);
  }

  /**
   * Reserves the memory of an attempt that is about to be sent. The reservation of the request
   * includes one attempt; another one at the same time needs memory of its own.
   *
   * @return false if it does not fit
   */
  boolean tryReserve(InFlightAttempt inFlight) {
    PendingResponse pending = inFlight.pending;
    if (pending.attemptInReservation == null) {
      pending.attemptInReservation = inFlight;
      return true;
    }
    long bytes = attemptBytes(pending.submitted);
    if (!retained.tryReserve(bytes)) {
      return false;
    }
    inFlight.reservedBytes = bytes;
    return true;
  }

  /** Called when an attempt has ended, and the policy has been notified of it. */
  void onAttemptEnded(InFlightAttempt inFlight) {
    PendingResponse pending = inFlight.pending;
    if (pending.attemptInReservation == inFlight) {
      pending.attemptInReservation = null;
    }
    retained.add(-inFlight.reservedBytes);
    inFlight.reservedBytes = 0;
    update(pending);
  }

  /** Reduces the reservation of a request to what it still needs. */
  void update(PendingResponse pending) {
    if (pending.isSettled() && pending.request.attemptsInFlight == 0) {
      SubmitRequest submitted = pending.submitted;
      int answerBytes = pending.answer == null ? 0 : pending.answer.retainedBytes();
      resize(pending, REQUEST_OVERHEAD_BYTES + submitted.statement().length + answerBytes);
    }
  }

  /** Releases the memory of a request that is removed from the registry. */
  void release(PendingResponse pending) {
    resize(pending, 0);
  }

  private void resize(PendingResponse pending, long bytes) {
    retained.add(bytes - pending.reservedBytes);
    pending.reservedBytes = bytes;
  }

  private static long openBytes(SubmitRequest submitted) {
    return REQUEST_OVERHEAD_BYTES
        + (long) STATEMENT_COPIES * submitted.statement().length
        + InFlightAttempt.MAX_RESULT_BYTES;
  }

  private static long attemptBytes(SubmitRequest submitted) {
    return submitted.statement().length + (long) InFlightAttempt.MAX_RESULT_BYTES;
  }
}
