package tillerlink.net.state;

import java.util.ArrayDeque;

/**
 * The numbered writes of one line-protocol connection: tracks which of them are complete, and which
 * carry attempts. Confined to the event-loop thread; all times are tenths of a millisecond.
 */
final class AttemptWrites {
  /**
   * An attempt that was passed to the channel and is not yet known to be written.
   *
   * @param inFlight the attempt
   * @param writeNumber the number of its write, counted from 1 on each connection
   * @param deadline the time before which its first byte must be written, in tenths of a
   *     millisecond
   * @param announcedWait how long the client waits according to the command sent to the engine, in
   *     tenths of a millisecond
   */
  record OutgoingAttempt(
      InFlightAttempt inFlight, long writeNumber, long deadline, long announcedWait) {}

  /** The attempts that are not yet written, in the order of their writes. */
  private final ArrayDeque<OutgoingAttempt> outgoing = new ArrayDeque<>(1);

  private long writesStarted;
  private long writesCompleted;

  /** The write of the attempt that was last cancelled before its write was complete; 0 if none. */
  private long lastCancelledWrite;

  /** Counts a write that is passed to the channel and carries no attempt. */
  void onWrite() {
    writesStarted++;
  }

  /**
   * Numbers the write of an attempt that is passed to the channel.
   *
   * @param deadline the time before which its first byte must be written, in tenths of a
   *     millisecond
   * @param announcedWait how long the client waits according to the command, in tenths of a
   *     millisecond
   */
  void onAttemptWrite(InFlightAttempt inFlight, long deadline, long announcedWait) {
    writesStarted++;
    inFlight.writeNumber = writesStarted;
    outgoing.add(new OutgoingAttempt(inFlight, writesStarted, deadline, announcedWait));
  }

  /**
   * Records that an attempt was cancelled. If its write is not complete, {@link
   * #cancelledAttemptPending} reports it, so that the write does not stay in the channel's queue.
   */
  void onCancelled(InFlightAttempt inFlight) {
    if (inFlight.pages == null && !isCompleted(inFlight)) {
      lastCancelledWrite = inFlight.writeNumber;
    }
  }

  /**
   * Records that the oldest pending write is complete.
   *
   * @return the attempt that it carried, or null if it carried none
   */
  OutgoingAttempt completeNext() {
    writesCompleted++;
    boolean attempt = !outgoing.isEmpty() && outgoing.peek().writeNumber <= writesCompleted;
    return attempt ? outgoing.poll() : null;
  }

  /** Returns whether all bytes of an attempt were written. */
  boolean isCompleted(InFlightAttempt inFlight) {
    return inFlight.writeNumber <= writesCompleted;
  }

  /** Returns whether an attempt was passed to the channel and its write is not complete. */
  boolean isPending(InFlightAttempt inFlight) {
    return inFlight.pages == null && inFlight.passedToChannel() && !isCompleted(inFlight);
  }

  /** Returns whether the write of a cancelled attempt is still pending. */
  boolean cancelledAttemptPending() {
    return lastCancelledWrite > writesCompleted;
  }
}
