package tillerlink.statements;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import tillerlink.messages.statements.Command;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.catalog.Outcome;

/**
 * The requests of this gateway's clients to change the catalog: proposed one at a time, in their
 * order, each again until it is in the log or its deadline has passed. Times are in tenths of a
 * millisecond.
 */
final class RequestQueue {
  private static final int QUEUED_MAX = 64;
  private static final long RETRY_INTERVAL = 5000;
  private static final long TIMEOUT = 100_000;
  private static final long NOT_DUE = Long.MAX_VALUE;

  private record Request(Command command, Consumer<Outcome> onOutcome, long deadline) {}

  /** Sends a proposal to a voter that may be the leader. */
  interface Proposer {
    void propose(long number, Command command);
  }

  private final long origin;
  private final Proposer proposer;
  private final ArrayDeque<Request> queue = new ArrayDeque<>();
  private long number;
  private long retryAt = NOT_DUE;

  /**
   * Sets up an empty queue.
   *
   * @param origin the number of this process in the log
   */
  RequestQueue(long origin, Proposer proposer) {
    this.origin = origin;
    this.proposer = proposer;
  }

  void add(long now, Command command, Consumer<Outcome> onOutcome) {
    if (queue.size() >= QUEUED_MAX) {
      onOutcome.accept(Outcome.refused("too many requests wait at this gateway"));
      return;
    }
    queue.add(new Request(command, onOutcome, now + TIMEOUT));
    if (queue.size() == 1) {
      number++;
      proposeFirst(now);
    }
  }

  private void proposeFirst(long now) {
    retryAt = now + RETRY_INTERVAL;
    proposer.propose(number, queue.peek().command);
  }

  /** The catalog changed, by an entry or by a snapshot: it may answer requests. */
  void onCatalogChanged(long now, Catalog catalog) {
    while (!queue.isEmpty()) {
      Outcome outcome = catalog.answer(origin, number).orElse(null);
      if (outcome == null) {
        return;
      }
      completeFirst(now, outcome);
    }
  }

  private void completeFirst(long now, Outcome outcome) {
    Request done = queue.poll();
    number++;
    retryAt = queue.isEmpty() ? NOT_DUE : now;
    done.onOutcome.accept(outcome);
  }

  void tick(long now) {
    while (!queue.isEmpty() && queue.peek().deadline <= now) {
      completeFirst(now, Outcome.unknown("no voter said in time what became of it"));
    }
    if (!queue.isEmpty() && now >= retryAt) {
      proposeFirst(now);
    }
  }

  /** The process ends: the outcome of what is queued stays unknown. */
  void failAll(long now) {
    while (!queue.isEmpty()) {
      completeFirst(now, Outcome.unknown("this gateway ends before it heard what became of it"));
    }
  }

  long nextDueAt() {
    return queue.isEmpty() ? NOT_DUE : Math.min(retryAt, queue.peek().deadline);
  }

  boolean isIdle() {
    return queue.isEmpty();
  }
}
