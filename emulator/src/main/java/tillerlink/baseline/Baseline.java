package tillerlink.baseline;

import java.util.ArrayList;
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
 * Plain policies to compare with, of the tool alone: they send at once, never again, and answer
 * just before the client leaves. They heed placement and drains, and nothing else.
 */
public final class Baseline implements DispatchPolicy {
  /** How an engine is chosen. */
  public enum Choice {
    RANDOM,
    LEAST_OUTSTANDING
  }

  private static final long MARGIN = 200;

  private record Due(long at, long number, Request request) {}

  private final Choice choice;
  private final DispatchActions actions;
  private final Random random;
  private final Settings settings;
  private final Map<Engine, Integer> out = new IdentityHashMap<>();
  private final List<Engine> engines = new ArrayList<>();
  private final List<Runnable> wanted = new ArrayList<>();
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Due::at).thenComparingLong(Due::number));
  private long number;

  private Baseline(
      Choice choice, long seed, Map<String, Object> settings, DispatchActions actions) {
    this.choice = choice;
    this.actions = actions;
    this.settings = new Settings(settings);
    random = new Random(seed);
  }

  public static DispatchPolicyFactory of(Choice choice) {
    return (now, seed, settings, actions) -> new Baseline(choice, seed, settings, actions);
  }

  @Override
  public void onEndpointsChanged(long now, boolean whole, List<EndpointUpdate> entries) {
    if (whole) {
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
    // Not heeded: with no engines all is rejected.
  }

  @Override
  public void onEndpointPollFailed(long now) {
    // The last list holds.
  }

  @Override
  public void onRequestArrived(long now, Request s) {
    List<Integer> kinds = settings.numbers("profiles." + s.classIndex + ".models_allowed");
    Engine best = null;
    double least = Double.MAX_VALUE;
    for (Engine engine : engines) {
      if (engine.status == Status.READY && (kinds == null || kinds.contains(engine.kind))) {
        double load = choice == Choice.RANDOM ? 0 : out.getOrDefault(engine, 0);
        double rating = load + random.nextDouble() / 2;
        if (rating < least) {
          least = rating;
          best = engine;
        }
      }
    }
    if (best == null) {
      end(s, RequestOutcome.REJECTED);
      return;
    }
    Attempt attempt = new Attempt(s, best, now, 0, 0, false);
    attempt.setSent(true);
    s.attempts.add(attempt);
    s.attemptsInFlight++;
    out.merge(best, 1, Integer::sum);
    wanted.add(() -> actions.sendAttempt(attempt));
    due.add(new Due(s.clientDeadline - MARGIN, number++, s));
  }

  private void end(Request s, RequestOutcome how) {
    if (s.outcome == null) {
      s.outcome = how;
      wanted.add(
          () -> {
            if (how == RequestOutcome.REJECTED) {
              actions.rejectRequest(s, 0);
            } else {
              actions.failRequest(s);
            }
          });
    }
  }

  @Override
  public void onShutdownDeadline(long now, Request s) {
    end(s, RequestOutcome.FAILED);
  }

  @Override
  public void onResponseStarted(long now, Attempt attempt) {
    // Answers are whole here.
  }

  @Override
  public void onAttemptProgress(long now, Attempt attempt, AttemptProgress note, double level) {
    // Not heeded.
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
    Request s = attempt.request;
    attempt.outcome = outcome;
    s.attemptsInFlight--;
    out.merge(attempt.engine, -1, Integer::sum);
    if (answered && s.outcome == null) {
      s.outcome =
          outcome == AttemptOutcome.SUCCEEDED
              ? RequestOutcome.SUCCEEDED
              : RequestOutcome.CLIENT_DISCONNECTED;
    }
    boolean pure = settings.text("profiles." + s.classIndex + ".semantics").equals("repeatable");
    end(s, outcome.provesNotExecuted || pure ? RequestOutcome.REJECTED : RequestOutcome.FAILED);
  }

  @Override
  public void onClientDisconnected(long now, Request s) {
    s.outcome = s.outcome == null ? RequestOutcome.CLIENT_DISCONNECTED : s.outcome;
    cancel(s);
  }

  private void cancel(Request s) {
    for (Attempt attempt : s.attempts) {
      if (attempt.isInFlight()) {
        wanted.add(() -> actions.cancelAttempt(attempt));
      }
    }
  }

  @Override
  public void onWakeup(long now) {
    // What is due is looked at when things settle.
  }

  @Override
  public void applyDecisions(long now) {
    while (!due.isEmpty() && due.peek().at <= now) {
      Request s = due.poll().request;
      if (s.outcome == null) {
        end(s, RequestOutcome.FAILED);
        cancel(s);
      }
    }
    for (int i = 0; i < wanted.size(); i++) {
      wanted.get(i).run();
    }
    wanted.clear();
    while (!due.isEmpty() && due.peek().request.outcome != null) {
      due.poll();
    }
    if (!due.isEmpty()) {
      actions.scheduleWakeup(due.peek().at);
    }
  }
}
