package tillerlink.net.state;

import java.util.ArrayList;
import java.util.List;
import tillerlink.policy.SendGuard;

/**
 * The attempts that wait until the input of their clients has been read, because it may end with a
 * close of the connection. Confined to the event-loop thread; all times are tenths of a
 * millisecond.
 */
final class AttemptsAwaitingInput {
  private record Waiting(InFlightAttempt inFlight, Runnable retry) {}

  private final IterationContext iteration;
  private final NetworkDriver driver;
  private List<Waiting> waiting = new ArrayList<>();

  AttemptsAwaitingInput(IterationContext iteration, NetworkDriver driver) {
    this.iteration = iteration;
    this.driver = driver;
  }

  /**
   * Lets an attempt wait.
   *
   * @param retry tries to send it again
   * @return false if it has waited for too long
   */
  boolean add(InFlightAttempt inFlight, Runnable retry) {
    long now = iteration.now();
    if (inFlight.inputAwaitedUntil == 0) {
      inFlight.inputAwaitedUntil = now + SendGuard.MAX_WRITE_DELAY;
    }
    if (now >= inFlight.inputAwaitedUntil) {
      return false;
    }
    waiting.add(new Waiting(inFlight, retry));
    return true;
  }

  /** Tries to send the attempts whose clients' input has been read, or that have waited enough. */
  void retryReady() {
    if (waiting.isEmpty()) {
      return;
    }
    List<Waiting> candidates = waiting;
    waiting = new ArrayList<>();
    boolean readPassNeeded = false;
    for (Waiting candidate : candidates) {
      InFlightAttempt inFlight = candidate.inFlight;
      if (!inFlight.attempt.isInFlight()) {
        continue;
      }
      if (!inFlight.pending.mayHaveUnreadInput() || iteration.now() >= inFlight.inputAwaitedUntil) {
        driver.runAfterPendingReads(candidate.retry);
      } else {
        waiting.add(candidate);
        readPassNeeded |= !inFlight.pending.attendant.isReadingPaused();
      }
    }
    if (readPassNeeded) {
      driver.runAfterPendingReads(() -> {});
    }
  }
}
