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
 * Simple policies to compare with. They send each request once and at once, and answer just before
 * the client's deadline. They respect placement and drains, and nothing else.
 */
public final class BaselinePolicy implements DispatchPolicy {
  /** How an engine is selected. */
  public enum Choice {
    RANDOM,
    LEAST_OUTSTANDING
  }

  private static final long DEADLINE_MARGIN = 200;

  private record Deadline(long at, long number, Request request) {}

  private final Choice choice;
  private final DispatchActions actions;
  private final Random random;
  private final Settings settings;
  private final IdentityHashMap<Engine, Integer> outstanding = new IdentityHashMap<>();
  private final List<Engine> engines = new ArrayList<>();
  private final List<Runnable> decisions = new ArrayList<>();
  private final PriorityQueue<Deadline> deadlines =
      new PriorityQueue<>(
          Comparator.comparingLong(Deadline::at).thenComparingLong(Deadline::number));
  private long deadlinesAdded;

  private BaselinePolicy(
      Choice choice, long seed, Map<String, Object> settings, DispatchActions actions) {
    this.choice = choice;
    this.actions = actions;
    this.settings = new Settings(settings);
    random = new Random(seed);
  }

  /** A factory of policies that select engines in that way. */
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
  public void onEndpointsUnknown(long now, boolean on) {
    // Ignored: without engines every request is rejected.
  }

  @Override
  public void onEndpointPollFailed(long now) {
    // The last list stays in use.
  }

  @Override
  public void onRequestArrived(long now, Request request) {
    List<Integer> kinds = settings.integers("profiles." + request.classIndex + ".models_allowed");
    Engine best = null;
    double least = Double.MAX_VALUE;
    for (Engine engine : engines) {
      if (engine.status == Status.READY && (kinds == null || kinds.contains(engine.kind))) {
        double load = choice == Choice.RANDOM ? 0 : outstanding.getOrDefault(engine, 0);
        double score = load + random.nextDouble() / 2;
        if (score < least) {
          least = score;
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
    // Ignored: only complete responses count here.
  }

  @Override
  public void onAttemptProgress(long now, Attempt attempt, AttemptProgress progress, double level) {
    // Ignored.
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

  private void cancel(Request request) {
    for (Attempt attempt : request.attempts) {
      if (attempt.isInFlight()) {
        decisions.add(() -> actions.cancelAttempt(attempt));
      }
    }
  }

  @Override
  public void onWakeup(long now) {
    // Deadlines are checked in applyDecisions.
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
