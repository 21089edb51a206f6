package tillerlink.net.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import tillerlink.net.wire.ResultResponse;
import tillerlink.net.wire.SubmitRequest;
import tillerlink.port.SendVerdict;

/** Tests of the memory that is reserved for requests. */
class RequestReservationsTest {
  private static final int STATEMENT_BYTES = 1000;
  private static final int OPEN_BYTES =
      RequestReservations.REQUEST_OVERHEAD_BYTES
          + 2 * STATEMENT_BYTES
          + InFlightAttempt.MAX_RESULT_BYTES;
  private static final int ATTEMPT_BYTES = STATEMENT_BYTES + InFlightAttempt.MAX_RESULT_BYTES;

  private final RetainedBytes retained = new RetainedBytes(2 * OPEN_BYTES + ATTEMPT_BYTES);
  private final RequestReservations reservations = new RequestReservations(retained);

  /** Guards the heap: a request is accepted only if the longest result would still fit. */
  @Test
  void requestIsRefusedUnlessItsLongestResultFits() {
    assertTrue(reservations.tryReserve(submitted()));
    assertTrue(reservations.tryReserve(submitted()));
    assertFalse(reservations.tryReserve(submitted()));
    assertEquals(2 * OPEN_BYTES, retained.bytes());
  }

  /**
   * Guards the heap against hedged attempts: two results of one request may arrive at the same
   * time, so the second attempt needs memory of its own until it has ended.
   */
  @Test
  void attemptAtTheSameTimeNeedsMemoryOfItsOwn() {
    PendingResponse first = accepted();
    PendingResponse second = accepted();
    InFlightAttempt sent = attempt(first);
    InFlightAttempt hedge = attempt(first);
    assertTrue(reservations.tryReserve(sent));
    assertTrue(reservations.tryReserve(hedge));
    assertEquals(2 * OPEN_BYTES + ATTEMPT_BYTES, retained.bytes());
    assertTrue(reservations.tryReserve(attempt(second)));
    assertFalse(reservations.tryReserve(attempt(second)));
    end(hedge);
    assertEquals(2 * OPEN_BYTES, retained.bytes());
    end(sent);
    assertTrue(reservations.tryReserve(attempt(first)));
    assertEquals(2 * OPEN_BYTES, retained.bytes());
  }

  /** An answered request holds its answer, and what it no longer needs is free for others. */
  @Test
  void answeredRequestHoldsOnlyItsAnswer() {
    PendingResponse pending = accepted();
    pending.request.attemptsInFlight = 1;
    assertTrue(reservations.tryReserve(attempt(pending)));
    pending.answer = new ResultResponse(new byte[][] {new byte[300], new byte[40]}, false);
    reservations.update(pending);
    assertEquals(OPEN_BYTES, retained.bytes());
    pending.request.attemptsInFlight = 0;
    reservations.update(pending);
    assertEquals(
        RequestReservations.REQUEST_OVERHEAD_BYTES + STATEMENT_BYTES + 340, retained.bytes());
    reservations.release(pending);
    assertEquals(0, retained.bytes());
  }

  private PendingResponse accepted() {
    assertTrue(reservations.tryReserve(submitted()));
    PendingResponse pending = new PendingResponse(submitted(), 0, 0, null);
    reservations.assign(pending);
    return pending;
  }

  private static SubmitRequest submitted() {
    return new SubmitRequest(
        "00000000000000a1", "look", 1000, false, null, null, 0, 0, 0, new byte[STATEMENT_BYTES]);
  }

  private static InFlightAttempt attempt(PendingResponse pending) {
    return new InFlightAttempt(null, pending, attempt -> SendVerdict.ALLOWED);
  }

  private void end(InFlightAttempt inFlight) {
    reservations.onAttemptEnded(inFlight);
  }
}
