package tillerlink.baseline;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.Request;
import tillerlink.model.RequestOutcome;
import tillerlink.model.Settings;
import tillerlink.port.DispatchActions;
import tillerlink.port.DispatchPolicy;
import tillerlink.port.DispatchPolicyFactory;

/**
 * A simple dispatch policy, as a baseline for comparisons. It makes a single attempt for each
 * request, immediately, and fails the request shortly before the client's deadline if the attempt
 * has not ended by then. It respects placement and drains; it has no retries, hedged attempts,
 * concurrency limits, slow start or key ordering.
 */
public final class BaselinePolicy implements DispatchPolicy {
  /** The rule by which an engine is selected. */
  public enum Choice {
    /** Any usable engine, with equal probability. */
    RANDOM,

    /** The usable engine with the fewest attempts in flight; a tie is broken at random. */
    LEAST_OUTSTANDING
  }

  /** The time before its deadline at which a request is failed, in tenths of a millisecond. */
  private static final long DEADLINE_MARGIN = 200;

  /** The time at which a request is failed; the sequence number orders equal times. */
  private record Deadline(long at, long sequence, Request request) {}

  private final Choice choice;
  private final DispatchActions actions;
  private final Random random;
  private final Settings settings;
  private final IdentityHashMap<Engine, Integer> outstanding = new IdentityHashMap<>();
  private final List<Engine> engines = new ArrayList<>();
  private final List<Runnable> decisions = new ArrayList<>();
  private final PriorityQueue<Deadline> deadlines =
      new PriorityQueue<>(
          Comparator.comparingLong(Deadline::at).thenComparingLong(Deadline::sequence));
  private long deadlinesAdded;

  private BaselinePolicy(
      Choice choice, long seed, Map<String, Object> settings, DispatchActions actions) {
    this.choice = choice;
    this.actions = actions;
    this.settings = new Settings(settings);
    random = new Random(seed);
  }

  /** Returns a factory of policies that select engines by the given rule. */
  public static DispatchPolicyFactory of(Choice choice) {
    return (now, seed, settings, actions) -> new BaselinePolicy(choice, seed, settings, actions);
  }

  @Override
  public void onEndpointsChanged(long now, boolean complete, List<EndpointUpdate> entries) {
    if (complete) {
      engines.forEach(engine -> engine.status = Status.GONE);
    }
    for (EndpointUpdate entry : entries) {
      Engine engine = entry.engine();
      if (!engines.contains(engine)) {
        engines.add(engine);
      }
      engine.kind = entry.kind();
      engine.zone = entry.zone();
      engine.status = entry.status();
      engine.startedAt = entry.startedAt();
    }
    engines.removeIf(engine -> engine.status == Status.GONE);
  }

  @Override
  public void onEndpointsUnknown(long now, boolean unknown) {
    // Ignored, because requests are rejected anyway while the list has no usable engine.
  }

  @Override
  public void onEndpointPollFailed(long now) {
    // Ignored, because the last list stays in use.
  }

  @Override
  public void onRequestArrived(long now, Request request) {
    List<Integer> kinds = settings.integers("profiles." + request.classIndex + ".models_allowed");
    Engine best = null;
    double bestScore = Double.MAX_VALUE;
    for (Engine engine : engines) {
      if (engine.status == Status.READY && (kinds == null || kinds.contains(engine.kind))) {
        double load = choice == Choice.RANDOM ? 0 : outstanding.getOrDefault(engine, 0);
        double score = load + random.nextDouble() / 2;
        if (score < bestScore) {
          bestScore = score;
          best = engine;
        }
      }
    }
    if (best == null) {
      end(request, RequestOutcome.REJECTED);
      return;
    }
    Attempt attempt = new Attempt(request, best, now, 0, 0, false);
    attempt.setSent(true);
    request.attempts.add(attempt);
    request.attemptsInFlight++;
    outstanding.merge(best, 1, Integer::sum);
    decisions.add(() -> actions.sendAttempt(attempt));
    deadlines.add(
        new Deadline(request.clientDeadline - DEADLINE_MARGIN, deadlinesAdded++, request));
  }

  /** Sets the outcome of a request and plans its answer, unless it has an outcome already. */
  private void end(Request request, RequestOutcome outcome) {
    if (request.outcome == null) {
      request.outcome = outcome;
      decisions.add(
          () -> {
            if (outcome == RequestOutcome.REJECTED) {
              actions.rejectRequest(request, 0);
            } else {
              actions.failRequest(request);
            }
          });
    }
  }

  @Override
  public void onShutdownDeadline(long now, Request request) {
    end(request, RequestOutcome.FAILED);
  }

  @Override
  public void onResponseStarted(long now, Attempt attempt) {
    // Ignored, because only the end of an attempt matters to this policy.
  }

  @Override
  public void onAttemptProgress(long now, Attempt attempt, AttemptProgress progress, double level) {
    // Ignored, because engines are selected without regard to progress.
  }

  @Override
  public void onAttemptEnded(
      long now,
      Attempt attempt,
      AttemptOutcome outcome,
      long lag,
      boolean answered,
      double work,
      double memory,
      double[] report) {
    Request request = attempt.request;
    attempt.outcome = outcome;
    request.attemptsInFlight--;
    outstanding.merge(attempt.engine, -1, Integer::sum);
    if (answered && request.outcome == null) {
      request.outcome =
          outcome == AttemptOutcome.SUCCEEDED
              ? RequestOutcome.SUCCEEDED
              : RequestOutcome.CLIENT_DISCONNECTED;
    }
    boolean repeatable =
        settings.text("profiles." + request.classIndex + ".semantics").equals("repeatable");
    end(
        request,
        outcome.provesNotExecuted || repeatable ? RequestOutcome.REJECTED : RequestOutcome.FAILED);
  }

  @Override
  public void onClientDisconnected(long now, Request request) {
    request.outcome =
        request.outcome == null ? RequestOutcome.CLIENT_DISCONNECTED : request.outcome;
    cancel(request);
  }

  /** Plans the cancellation of the attempts in flight of a request. */
  private void cancel(Request request) {
    for (Attempt attempt : request.attempts) {
      if (attempt.isInFlight()) {
        decisions.add(() -> actions.cancelAttempt(attempt));
      }
    }
  }

  @Override
  public void onWakeup(long now) {
    // Nothing to do, because applyDecisions checks the deadlines in every iteration.
  }

  @Override
  public void applyDecisions(long now) {
    while (!deadlines.isEmpty() && deadlines.peek().at <= now) {
      Request request = deadlines.poll().request;
      if (request.outcome == null) {
        end(request, RequestOutcome.FAILED);
        cancel(request);
      }
    }
    for (int i = 0; i < decisions.size(); i++) {
      decisions.get(i).run();
    }
    decisions.clear();
    while (!deadlines.isEmpty() && deadlines.peek().request.outcome != null) {
      deadlines.poll();
    }
    if (!deadlines.isEmpty()) {
      actions.scheduleWakeup(deadlines.peek().at);
    }
  }
}
