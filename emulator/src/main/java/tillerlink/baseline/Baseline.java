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

  private record Due(long at, long number, Request submission) {}

  private final Choice choice;
  private final DispatchActions orders;
  private final Random random;
  private final Settings settings;
  private final Map<Engine, Integer> out = new IdentityHashMap<>();
  private final List<Engine> engines = new ArrayList<>();
  private final List<Runnable> wanted = new ArrayList<>();
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Due::at).thenComparingLong(Due::number));
  private long number;

  private Baseline(Choice choice, long seed, Map<String, Object> settings, DispatchActions orders) {
    this.choice = choice;
    this.orders = orders;
    this.settings = new Settings(settings);
    random = new Random(seed);
  }

  public static DispatchPolicyFactory of(Choice choice) {
    return (now, seed, settings, orders) -> new Baseline(choice, seed, settings, orders);
  }

  @Override
  public void onEndpointsChanged(long now, boolean whole, List<EndpointUpdate> entries) {
    if (whole) {
      engines.forEach(engine -> engine.standing = Status.GONE);
    }
    for (EndpointUpdate entry : entries) {
      Engine engine = entry.engine();
      if (!engines.contains(engine)) {
        engines.add(engine);
      }
      engine.kind = entry.kind();
      engine.zone = entry.zone();
      engine.standing = entry.standing();
      engine.startedAt = entry.startedAt();
    }
    engines.removeIf(engine -> engine.standing == Status.GONE);
  }

  @Override
  public void onEndpointsUnknown(long now, boolean on) {
    // Not heeded: with no engines all is turned back.
  }

  @Override
  public void onEndpointPollFailed(long now) {
    // The last list holds.
  }

  @Override
  public void onRequestArrived(long now, Request s) {
    List<Integer> kinds = settings.numbers("profiles." + s.trackIndex + ".models_allowed");
    Engine best = null;
    double least = Double.MAX_VALUE;
    for (Engine engine : engines) {
      if (engine.standing == Status.READY && (kinds == null || kinds.contains(engine.kind))) {
        double load = choice == Choice.RANDOM ? 0 : out.getOrDefault(engine, 0);
        double rating = load + random.nextDouble() / 2;
        if (rating < least) {
          least = rating;
          best = engine;
        }
      }
    }
    if (best == null) {
      end(s, RequestOutcome.TURNED_BACK);
      return;
    }
    Attempt hop = new Attempt(s, best, now, 0, 0, false);
    hop.sent = true;
    s.hops.add(hop);
    s.hopsOut++;
    out.merge(best, 1, Integer::sum);
    wanted.add(() -> orders.sendAttempt(hop));
    due.add(new Due(s.leavesAt - MARGIN, number++, s));
  }

  private void end(Request s, RequestOutcome how) {
    if (s.ending == null) {
      s.ending = how;
      wanted.add(
          () -> {
            if (how == RequestOutcome.TURNED_BACK) {
              orders.rejectRequest(s, 0);
            } else {
              orders.failRequest(s);
            }
          });
    }
  }

  @Override
  public void onShutdownDeadline(long now, Request s) {
    end(s, RequestOutcome.BROKEN_OFF);
  }

  @Override
  public void onResponseStarted(long now, Attempt hop) {
    // Answers are whole here.
  }

  @Override
  public void onAttemptProgress(long now, Attempt hop, AttemptProgress note, double level) {
    // Not heeded.
  }

  @Override
  public void onAttemptEnded(
      long now,
      Attempt hop,
      AttemptOutcome outcome,
      long lag,
      boolean answered,
      double work,
      double memory,
      double[] report) {
    Request s = hop.submission;
    hop.outcome = outcome;
    s.hopsOut--;
    out.merge(hop.engine, -1, Integer::sum);
    if (answered && s.ending == null) {
      s.ending =
          outcome == AttemptOutcome.FULFILLED ? RequestOutcome.FULFILLED : RequestOutcome.LEFT;
    }
    boolean pure = settings.text("profiles." + s.trackIndex + ".semantics").equals("repeatable");
    end(s, outcome.provesIdle || pure ? RequestOutcome.TURNED_BACK : RequestOutcome.BROKEN_OFF);
  }

  @Override
  public void onClientDisconnected(long now, Request s) {
    s.ending = s.ending == null ? RequestOutcome.LEFT : s.ending;
    callOff(s);
  }

  private void callOff(Request s) {
    for (Attempt hop : s.hops) {
      if (hop.isOut()) {
        wanted.add(() -> orders.cancelAttempt(hop));
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
      Request s = due.poll().submission;
      if (s.ending == null) {
        end(s, RequestOutcome.BROKEN_OFF);
        callOff(s);
      }
    }
    for (int i = 0; i < wanted.size(); i++) {
      wanted.get(i).run();
    }
    wanted.clear();
    while (!due.isEmpty() && due.peek().submission.ending != null) {
      due.poll();
    }
    if (!due.isEmpty()) {
      orders.scheduleWakeup(due.peek().at);
    }
  }
}
