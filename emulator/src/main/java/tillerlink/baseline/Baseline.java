package tillerlink.baseline;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import tillerlink.model.Ending;
import tillerlink.model.Engine;
import tillerlink.model.Hop;
import tillerlink.model.Listed;
import tillerlink.model.Named;
import tillerlink.model.Note;
import tillerlink.model.Outcome;
import tillerlink.model.Submission;
import tillerlink.port.Orders;
import tillerlink.port.Steering;
import tillerlink.port.SteeringFactory;

/**
 * Plain policies to compare with, of the tool alone: they send at once, never again, and answer
 * just before the client leaves. They heed placement and drains, and nothing else.
 */
public final class Baseline implements Steering {
  /** How an engine is chosen. */
  public enum Choice {
    RANDOM,
    LEAST_OUTSTANDING
  }

  private static final long MARGIN = 200;

  private record Due(long at, long number, Submission submission) {}

  private final Choice choice;
  private final Orders orders;
  private final Random random;
  private final Named settings;
  private final Map<Engine, Integer> out = new IdentityHashMap<>();
  private final List<Engine> engines = new ArrayList<>();
  private final List<Runnable> wanted = new ArrayList<>();
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Due::at).thenComparingLong(Due::number));
  private long number;

  private Baseline(Choice choice, long seed, Map<String, Object> settings, Orders orders) {
    this.choice = choice;
    this.orders = orders;
    this.settings = new Named(settings);
    random = new Random(seed);
  }

  public static SteeringFactory of(Choice choice) {
    return (now, seed, settings, orders) -> new Baseline(choice, seed, settings, orders);
  }

  @Override
  public void listed(long now, boolean whole, List<Listed> entries) {
    if (whole) {
      engines.forEach(engine -> engine.standing = Engine.Standing.GONE);
    }
    for (Listed entry : entries) {
      Engine engine = entry.engine();
      if (!engines.contains(engine)) {
        engines.add(engine);
      }
      engine.kind = entry.kind();
      engine.zone = entry.zone();
      engine.standing = entry.standing();
      engine.startedAt = entry.startedAt();
    }
    engines.removeIf(engine -> engine.standing == Engine.Standing.GONE);
  }

  @Override
  public void blind(long now, boolean on) {
    // Not heeded: with no engines all is turned back.
  }

  @Override
  public void listFailed(long now) {
    // The last list holds.
  }

  @Override
  public void arrived(long now, Submission s) {
    List<Integer> kinds = settings.numbers("profiles." + s.trackIndex + ".models_allowed");
    Engine best = null;
    double least = Double.MAX_VALUE;
    for (Engine engine : engines) {
      if (engine.standing == Engine.Standing.READY
          && (kinds == null || kinds.contains(engine.kind))) {
        double load = choice == Choice.RANDOM ? 0 : out.getOrDefault(engine, 0);
        double rating = load + random.nextDouble() / 2;
        if (rating < least) {
          least = rating;
          best = engine;
        }
      }
    }
    if (best == null) {
      end(s, Ending.TURNED_BACK);
      return;
    }
    Hop hop = new Hop(s, best, now, 0, 0, false);
    hop.sent = true;
    s.hops.add(hop);
    s.hopsOut++;
    out.merge(best, 1, Integer::sum);
    wanted.add(() -> orders.send(hop));
    due.add(new Due(s.leavesAt - MARGIN, number++, s));
  }

  private void end(Submission s, Ending how) {
    if (s.ending == null) {
      s.ending = how;
      wanted.add(
          () -> {
            if (how == Ending.TURNED_BACK) {
              orders.turnBack(s, 0);
            } else {
              orders.breakOff(s);
            }
          });
    }
  }

  @Override
  public void outOfTime(long now, Submission s) {
    end(s, Ending.BROKEN_OFF);
  }

  @Override
  public void begun(long now, Hop hop) {
    // Answers are whole here.
  }

  @Override
  public void noted(long now, Hop hop, Note note, double level) {
    // Not heeded.
  }

  @Override
  public void ended(
      long now,
      Hop hop,
      Outcome outcome,
      long lag,
      boolean answered,
      double work,
      double memory,
      double[] report) {
    Submission s = hop.submission;
    hop.outcome = outcome;
    s.hopsOut--;
    out.merge(hop.engine, -1, Integer::sum);
    if (answered && s.ending == null) {
      s.ending = outcome == Outcome.FULFILLED ? Ending.FULFILLED : Ending.LEFT;
    }
    boolean pure = settings.text("profiles." + s.trackIndex + ".semantics").equals("repeatable");
    end(s, outcome.provesIdle || pure ? Ending.TURNED_BACK : Ending.BROKEN_OFF);
  }

  @Override
  public void left(long now, Submission s) {
    s.ending = s.ending == null ? Ending.LEFT : s.ending;
    callOff(s);
  }

  private void callOff(Submission s) {
    for (Hop hop : s.hops) {
      if (hop.isOut()) {
        wanted.add(() -> orders.callOff(hop));
      }
    }
  }

  @Override
  public void woken(long now) {
    // What is due is looked at when things settle.
  }

  @Override
  public void settle(long now) {
    while (!due.isEmpty() && due.peek().at <= now) {
      Submission s = due.poll().submission;
      if (s.ending == null) {
        end(s, Ending.BROKEN_OFF);
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
      orders.wake(due.peek().at);
    }
  }
}
