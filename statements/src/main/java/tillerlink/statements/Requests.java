package tillerlink.statements;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import tillerlink.messages.statements.Command;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.catalog.Outcome;

/**
 * What clients of this gateway ask of the catalog: one at a time, in their order, each again until
 * it is in the log or its time is over.
 */
final class Requests {
  private static final int WAITING_MOST = 64;
  private static final long AGAIN = 5000;
  private static final long PATIENCE = 100_000;

  private record Request(Command command, Consumer<Outcome> told, long until) {}

  /** Hands a request on to whoever may be the leader. */
  interface Way {
    void propose(long now, long number, Command command);
  }

  private final long origin;
  private final Way way;
  private final ArrayDeque<Request> waiting = new ArrayDeque<>();
  private long number;
  private long againAt = Long.MAX_VALUE;

  Requests(long origin, Way way) {
    this.origin = origin;
    this.way = way;
  }

  void ask(long now, Command command, Consumer<Outcome> told) {
    if (waiting.size() >= WAITING_MOST) {
      told.accept(Outcome.refused("too many requests wait at this gateway"));
      return;
    }
    waiting.add(new Request(command, told, now + PATIENCE));
    if (waiting.size() == 1) {
      number++;
      send(now);
    }
  }

  private void send(long now) {
    againAt = now + AGAIN;
    way.propose(now, number, waiting.peek().command);
  }

  /** An entry came, or a state with many in it. */
  void applied(long now, Catalog catalog) {
    while (!waiting.isEmpty()) {
      Outcome outcome = catalog.answer(origin, number).orElse(null);
      if (outcome == null) {
        return;
      }
      next(now, outcome);
    }
  }

  private void next(long now, Outcome outcome) {
    Request done = waiting.poll();
    number++;
    againAt = waiting.isEmpty() ? Long.MAX_VALUE : now;
    done.told.accept(outcome);
  }

  void turn(long now) {
    while (!waiting.isEmpty() && waiting.peek().until <= now) {
      next(now, Outcome.unknown("no voter said in time what became of it"));
    }
    if (!waiting.isEmpty() && now >= againAt) {
      send(now);
    }
  }

  /** The process ends: nobody here will hear what became of what waits. */
  void end(long now) {
    while (!waiting.isEmpty()) {
      next(now, Outcome.unknown("this gateway ends before it heard what became of it"));
    }
  }

  long dueAt() {
    return waiting.isEmpty() ? Long.MAX_VALUE : Math.min(againAt, waiting.peek().until);
  }

  boolean isIdle() {
    return waiting.isEmpty();
  }
}
