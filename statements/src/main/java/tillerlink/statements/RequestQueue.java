package tillerlink.statements;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import tillerlink.messages.statements.Command;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.catalog.Outcome;

/**
 * A queue of the requests of this gateway's clients to change the catalog. Requests are proposed
 * one at a time and in order; each is proposed repeatedly until it is in the log or its deadline
 * has passed. Times are in tenths of a millisecond.
 */
final class RequestQueue {
  private static final int QUEUE_CAPACITY = 64;
  private static final long RETRY_INTERVAL = 5000;
  private static final long REQUEST_TIMEOUT = 100_000;
  private static final long NEVER = Long.MAX_VALUE;

  private record Request(Command command, Consumer<Outcome> onOutcome, long deadline) {}

  /** A sender of proposals to a voter that may be the leader. */
  interface Proposer {
    void propose(long number, Command command);
  }

  private final long origin;
  private final Proposer proposer;
  private final ArrayDeque<Request> queue = new ArrayDeque<>();

  /** The number of the first request; repeated proposals have it too, so that only one applies. */
  private long firstNumber;

  private long retryAt = NEVER;

  /**
   * Creates an empty queue.
   *
   * @param origin the number that identifies this process in log entries
   */
  RequestQueue(long origin, Proposer proposer) {
    this.origin = origin;
    this.proposer = proposer;
  }

  /**
   * Queues a request, or refuses it if the queue is full.
   *
   * @param onOutcome receives the outcome; called immediately if the request is refused
   */
  void add(long now, Command command, Consumer<Outcome> onOutcome) {
    if (queue.size() >= QUEUE_CAPACITY) {
      onOutcome.accept(Outcome.refused("too many requests wait at this gateway"));
      return;
    }
    queue.add(new Request(command, onOutcome, now + REQUEST_TIMEOUT));
    if (queue.size() == 1) {
      firstNumber++;
      proposeFirst(now);
    }
  }

  private void proposeFirst(long now) {
    retryAt = now + RETRY_INTERVAL;
    proposer.propose(firstNumber, queue.peek().command);
  }

  /** Completes the requests whose outcomes the catalog contains after an entry or a snapshot. */
  void onCatalogChanged(long now, Catalog catalog) {
    while (!queue.isEmpty()) {
      Outcome outcome = catalog.answer(origin, firstNumber).orElse(null);
      if (outcome == null) {
        return;
      }
      completeFirst(now, outcome);
    }
  }

  private void completeFirst(long now, Outcome outcome) {
    Request completed = queue.poll();
    firstNumber++;
    retryAt = queue.isEmpty() ? NEVER : now;
    completed.onOutcome.accept(outcome);
  }

  /** Completes requests past their deadlines, and repeats the first proposal when it is due. */
  void tick(long now) {
    while (!queue.isEmpty() && queue.peek().deadline <= now) {
      completeFirst(now, Outcome.unknown("no voter said in time what became of it"));
    }
    if (!queue.isEmpty() && now >= retryAt) {
      proposeFirst(now);
    }
  }

  /** Completes all queued requests with an unknown outcome, because the process ends. */
  void failAll(long now) {
    while (!queue.isEmpty()) {
      completeFirst(now, Outcome.unknown("this gateway ends before it heard what became of it"));
    }
  }

  /** Returns when {@link #tick} is to be called next; {@link Long#MAX_VALUE} if idle. */
  long nextDueAt() {
    return queue.isEmpty() ? NEVER : Math.min(retryAt, queue.peek().deadline);
  }

  boolean isIdle() {
    return queue.isEmpty();
  }
}
