package tillerlink.net.state;

import java.util.ArrayDeque;

/**
 * The writes of one line-protocol connection by their numbers: which have been completed, and which
 * of them are attempts. Owned by the event-loop thread.
 */
final class AttemptWrites {
  /**
   * An attempt that is being written.
   *
   * @param number of the write
   * @param before by when its first byte has to be written
   * @param limit how long the engine is told that the client waits
   */
  record OutgoingAttempt(InFlightAttempt inFlight, long number, long before, long limit) {}

  /** In the order of their writes. */
  private final ArrayDeque<OutgoingAttempt> outgoing = new ArrayDeque<>(1);

  private long begun;
  private long completed;

  /** The last attempt that was cancelled before all of it had been written. */
  private long lastCancelled;

  /** Something other than an attempt is handed to the channel. */
  void onWrite() {
    begun++;
  }

  /** An attempt is handed to the channel. */
  void onAttemptWrite(InFlightAttempt inFlight, long before, long limit) {
    begun++;
    inFlight.writeNumber = begun;
    outgoing.add(new OutgoingAttempt(inFlight, begun, before, limit));
  }

  /** An attempt is cancelled: if it was not written whole, that write must not linger. */
  void onCancelled(InFlightAttempt inFlight) {
    if (inFlight.pages == null && !isCompleted(inFlight)) {
      lastCancelled = inFlight.writeNumber;
    }
  }

  /** The oldest write is complete; the attempt that it was, or null. */
  OutgoingAttempt completeNext() {
    completed++;
    boolean attempt = !outgoing.isEmpty() && outgoing.peek().number <= completed;
    return attempt ? outgoing.poll() : null;
  }

  /** Whether all of an attempt was written. */
  boolean isCompleted(InFlightAttempt inFlight) {
    return inFlight.writeNumber <= completed;
  }

  /** Whether an attempt was handed to the channel and not all of it was written. */
  boolean isPending(InFlightAttempt inFlight) {
    return inFlight.pages == null && inFlight.handedOver() && !isCompleted(inFlight);
  }

  /** Whether a cancelled attempt still waits to be written. */
  boolean cancelledAttemptPending() {
    return lastCancelled > completed;
  }
}
