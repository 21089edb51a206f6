package tillerlink;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.Request;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.port.DispatchActions;

/**
 * One engine of a fleet starts cold, in virtual time: what many gateways, each with a policy of its
 * own, send it together. Traffic is Poisson and uneven by gateway, each is notified of the start
 * after a time of its own, and a tenth of them restart meanwhile. Times are tenths of a
 * millisecond.
 */
final class SlowStartSimulation {
  /** How the engine comes to be cold. */
  enum Kind {
    /** It was never there before. */
    NEW,
    /**
     * Its process is replaced: connections break, and gateways not yet notified send it what a warm
     * one gets.
     */
    REPLACED,
    /**
     * It says nothing for eight seconds; what is sent to it waits on the way, and what no gateway
     * has given up by its return comes to the new process.
     */
    SILENT
  }

  /**
   * What came of one start.
   *
   * @param maxOverAllowed the largest sum in any period over what the settings allow in it, N
   * @param maxOverBound the same over N + 2 root N + 2
   * @param usedShare what the engine was given from a period after the start on, over what it can
   *     do
   * @param maxOverBoundNotified the largest sum over its bound of what gateways sent after they had
   *     been notified
   */
  record Start(
      double maxOverAllowed, double maxOverBound, double usedShare, double maxOverBoundNotified) {}

  private static final long SECOND = 10_000;
  private static final long SLOW_START_PERIOD = 3 * SECOND;
  private static final long WARMUP_TIME = 13 * SECOND;
  private static final double START_CAPACITY = 0.3;
  private static final double MULTIPLE = 2.5;
  private static final int CORES = 4;
  private static final int ENGINES = 12;
  private static final long SILENCE = 8 * SECOND;
  private static final long CONNECTION_LOST_AFTER = 3 * SECOND / 4;
  private static final long LEAD_TIME = 12 * SECOND;
  private static final double UTILIZATION = 0.6;
  private static final double HEAVY_SHARE = 0.1;

  /** The work of the heavy request class, in multiples of the light one. */
  private static final double HEAVY_FACTOR = 4;

  private final int gateways;
  private final double meanWork;
  private final long latestNotification;
  private final Random random;
  private final Kind kind;
  private final long startAt = 1_000_000_000L + LEAD_TIME;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final SimulatedEngine[] simulatedEngines = new SimulatedEngine[ENGINES + 1];
  private final SimulatedEngine cold;
  private final List<Sent> attemptsToColdEngine = new ArrayList<>();
  private final SimulatedGateway[] simulatedGateways;
  private long order;
  private long now;

  private record Event(long at, long order, Runnable what) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private record Sent(long at, double work, boolean notified) {}

  /** An engine: attempts share its cores. */
  private final class SimulatedEngine {
    final Map<Attempt, Double> workLeft = new LinkedHashMap<>();
    long updatedAt;
    long generation;

    /**
     * Works off what was done since the last change, and comes back when the next attempt is
     * through.
     */
    void change(Runnable what) {
      double each = rate();
      workLeft.replaceAll((attempt, work) -> work - (now - updatedAt) * each);
      updatedAt = now;
      what.run();
      long scheduledIn = ++generation;
      double least = workLeft.values().stream().mapToDouble(work -> work).min().orElse(-1);
      if (!workLeft.isEmpty() && rate() > 0) {
        at(
            now + 1 + (long) Math.max(0, least / rate()),
            () -> {
              if (scheduledIn == generation) {
                finish();
              }
            });
      }
    }

    private void finish() {
      List<Attempt> through = new ArrayList<>();
      change(
          () -> {
            workLeft.forEach(
                (attempt, work) -> {
                  if (work <= 1) {
                    through.add(attempt);
                  }
                });
            through.forEach(workLeft::remove);
          });
      through.forEach(attempt -> gatewayOf(attempt).ended(attempt, AttemptOutcome.SUCCEEDED));
    }

    private double rate() {
      double all = CORES;
      if (this == cold) {
        all *= now < startAt ? isSilent() ? 0 : 1 : warmCapacity(now);
      }
      return workLeft.isEmpty() ? 0 : Math.min(1, all / workLeft.size());
    }
  }

  /**
   * What the settings say of the engine's warmth for sure, and in between the curve that the policy
   * takes.
   */
  private double warmCapacity(long at) {
    double gone = Math.min(1, Math.max(0, (double) (at - startAt) / WARMUP_TIME));
    return START_CAPACITY + (1 - START_CAPACITY) * gone * gone;
  }

  private boolean isSilent() {
    return kind == Kind.SILENT && now >= startAt - SILENCE && now < startAt;
  }

  /** One gateway; a restart replaces its policy. */
  private final class SimulatedGateway implements DispatchActions {
    final int index;
    final double rate;
    final IdentityHashMap<Engine, SimulatedEngine> engines = new IdentityHashMap<>();
    Engine coldEngine;
    DefaultDispatchPolicy policy;
    boolean notified;
    long wakeAt;
    int incarnation;

    SimulatedGateway(int index, double rate) {
      this.index = index;
      this.rate = rate;
      start();
    }

    void start() {
      incarnation++;
      wakeAt = Long.MAX_VALUE;
      engines.clear();
      Map<String, Object> values = settings();
      values.put("me", (long) index);
      policy = new DefaultDispatchPolicy(now, random.nextLong(), values, this);
      List<EndpointUpdate> list = new ArrayList<>();
      for (SimulatedEngine simulatedEngine : simulatedEngines) {
        Engine engine = new Engine(simulatedEngine);
        engines.put(engine, simulatedEngine);
        if (simulatedEngine == cold) {
          coldEngine = engine;
        }
        if (simulatedEngine != cold || kind != Kind.NEW || now >= startAt) {
          list.add(
              new EndpointUpdate(
                  engine,
                  0,
                  0,
                  0,
                  1,
                  Status.READY,
                  simulatedEngine == cold && now >= startAt ? startAt : 0));
        }
      }
      notified = now >= startAt;
      policy.onEndpointsChanged(now, true, list);
      applyDecisions();
    }

    void stop() {
      for (SimulatedEngine simulatedEngine : simulatedEngines) {
        if (simulatedEngine.workLeft.keySet().stream()
            .anyMatch(attempt -> gatewayOf(attempt) == this)) {
          simulatedEngine.change(
              () ->
                  simulatedEngine
                      .workLeft
                      .keySet()
                      .removeIf(attempt -> gatewayOf(attempt) == this));
        }
      }
      policy = null;
    }

    void notifyOfStart() {
      if (policy != null && !notified) {
        notified = true;
        policy.onEndpointsChanged(
            now, false, List.of(new EndpointUpdate(coldEngine, 0, 0, 0, 1, Status.READY, startAt)));
        applyDecisions();
      }
    }

    void arrive() {
      if (policy != null) {
        boolean heavy = random.nextDouble() < HEAVY_SHARE;
        double work =
            -Math.log(1 - random.nextDouble()) * lightWork() * (heavy ? HEAVY_FACTOR : 1) + 10;
        double estimate = work * Math.exp(0.4 * random.nextGaussian());
        long patience = (long) (40 * meanWork);
        policy.onRequestArrived(
            now,
            new Request(
                new Job(this, incarnation, work),
                heavy ? 1 : 0,
                random.nextInt(50),
                false,
                now,
                now + patience,
                estimate,
                0,
                null));
        applyDecisions();
      }
      at(now + (long) (-Math.log(1 - random.nextDouble()) / rate), this::arrive);
    }

    void ended(Attempt attempt, AttemptOutcome outcome) {
      if (policy != null && job(attempt).incarnation == incarnation && attempt.isInFlight()) {
        policy.onAttemptEnded(
            now,
            attempt,
            outcome,
            now - attempt.sentAt,
            outcome == AttemptOutcome.SUCCEEDED,
            0,
            0,
            null);
        applyDecisions();
      }
    }

    private void applyDecisions() {
      policy.applyDecisions(now);
    }

    @Override
    public void sendAttempt(Attempt attempt) {
      SimulatedEngine simulatedEngine = engines.get(attempt.engine);
      if (simulatedEngine == cold && now >= startAt) {
        attemptsToColdEngine.add(new Sent(now, job(attempt).work, notified));
      }
      simulatedEngine.change(() -> simulatedEngine.workLeft.put(attempt, job(attempt).work));
      if (simulatedEngine == cold && isSilent()) {
        loseConnectionLater(attempt);
      }
    }

    @Override
    public void cancelAttempt(Attempt attempt) {
      SimulatedEngine simulatedEngine = engines.get(attempt.engine);
      simulatedEngine.change(() -> simulatedEngine.workLeft.remove(attempt));
      at(now + 10, () -> ended(attempt, AttemptOutcome.CANCELLED));
    }

    @Override
    public void scheduleWakeup(long at) {
      if (at < wakeAt) {
        wakeAt = at;
        int scheduledIn = incarnation;
        at(
            Math.max(at, now),
            () -> {
              if (policy != null && scheduledIn == incarnation && wakeAt == at) {
                wakeAt = Long.MAX_VALUE;
                policy.onWakeup(now);
                applyDecisions();
              }
            });
      }
    }

    @Override
    public void updatePriorityAndGrant(Request request, int priority, long grant) {}

    @Override
    public void rejectRequest(Request request, long retryAfter) {}

    @Override
    public void failRequest(Request request) {}

    @Override
    public void watchEndpoints() {}

    @Override
    public void log(String line) {}
  }

  private record Job(SimulatedGateway gateway, int incarnation, double work) {}

  private static Job job(Attempt attempt) {
    return (Job) attempt.request.tag;
  }

  private static SimulatedGateway gatewayOf(Attempt attempt) {
    return job(attempt).gateway;
  }

  /**
   * @param meanWork the mean work of a request; with it N is 90,000 / meanWork at first
   * @param latestNotification after this time the last gateway is notified of the start
   */
  SlowStartSimulation(
      int gateways, double meanWork, long latestNotification, Kind kind, long seed) {
    this.latestNotification = latestNotification;
    this.gateways = gateways;
    this.meanWork = meanWork;
    this.kind = kind;
    random = new Random(seed);
    now = startAt - LEAD_TIME;
    for (int i = 0; i < simulatedEngines.length; i++) {
      simulatedEngines[i] = new SimulatedEngine();
      simulatedEngines[i].updatedAt = now;
    }
    cold = simulatedEngines[ENGINES];
    double[] parts = new double[gateways];
    Arrays.setAll(parts, i -> Math.exp(0.8 * random.nextGaussian()));
    double all = Arrays.stream(parts).sum();
    simulatedGateways = new SimulatedGateway[gateways];
    for (int i = 0; i < gateways; i++) {
      simulatedGateways[i] =
          new SimulatedGateway(i, parts[i] / all * UTILIZATION * ENGINES * CORES / meanWork);
      at(now + random.nextInt((int) SECOND), simulatedGateways[i]::arrive);
    }
  }

  private double lightWork() {
    return meanWork / (1 - HEAVY_SHARE + HEAVY_SHARE * HEAVY_FACTOR);
  }

  private Map<String, Object> settings() {
    Map<String, Object> all =
        new HashMap<>(
            Map.of(
                "guarantees.fall_multiple",
                MULTIPLE,
                "guarantees.fall",
                SLOW_START_PERIOD,
                "guarantees.start_capacity",
                START_CAPACITY,
                "guarantees.warm_within",
                WARMUP_TIME,
                "guarantees.drain_grace",
                5000L));
    all.putAll(
        Map.of(
            "instances",
            (long) gateways,
            "tick",
            50L,
            "caps.max_attempts",
            4L,
            "caps.may_cancel",
            true,
            "family_info.kind_cores",
            List.of(CORES),
            "profiles",
            2L));
    for (int i = 0; i < 2; i++) {
      String at = "profiles." + i + ".";
      all.put(at + "semantics", "repeatable");
      all.put(at + "group", "all");
      all.put(at + "aim", (long) (10 * meanWork));
      all.put(at + "hard_limit", (long) (40 * meanWork));
      all.put(at + "worth", i == 0 ? 1.0 : HEAVY_FACTOR);
    }
    return all;
  }

  private void at(long when, Runnable what) {
    events.add(new Event(when, order++, what));
  }

  Start play() {
    if (kind == Kind.SILENT) {
      at(startAt - SILENCE - 1, this::fallSilent);
    }
    at(startAt, this::start);
    for (SimulatedGateway gateway : simulatedGateways) {
      at(startAt + 1 + random.nextInt((int) latestNotification), gateway::notifyOfStart);
      if (random.nextInt(10) == 0) {
        long down = startAt - SECOND + random.nextInt(9 * (int) SECOND);
        at(down, gateway::stop);
        at(down + SECOND / 2, gateway::start);
      }
    }
    while (!events.isEmpty() && events.peek().at <= startAt + WARMUP_TIME) {
      Event next = events.poll();
      now = next.at;
      next.what.run();
    }
    return evaluate();
  }

  /** What is in flight on the engine stands still; what is sent from now on waits on the way. */
  private void fallSilent() {
    cold.change(() -> {});
    cold.generation++;
    List<Attempt> inFlight = new ArrayList<>(cold.workLeft.keySet());
    inFlight.forEach(this::loseConnectionLater);
  }

  /** As the connections do with an engine that answers no probe. */
  private void loseConnectionLater(Attempt attempt) {
    at(
        now + CONNECTION_LOST_AFTER,
        () -> {
          if (isSilent() && cold.workLeft.remove(attempt) != null) {
            gatewayOf(attempt).ended(attempt, AttemptOutcome.CONNECTION_LOST);
          }
        });
  }

  private void start() {
    List<Attempt> inFlight = new ArrayList<>(cold.workLeft.keySet());
    if (kind == Kind.REPLACED) {
      cold.workLeft.clear();
      cold.generation++;
      inFlight.forEach(
          attempt -> gatewayOf(attempt).ended(attempt, AttemptOutcome.CONNECTION_LOST));
    } else {
      inFlight.forEach(
          attempt -> attemptsToColdEngine.add(new Sent(now, job(attempt).work, false)));
      cold.updatedAt = now;
      cold.change(() -> {});
    }
  }

  /** In requests of mean work; N of a period as the engine bears at its beginning. */
  private Start evaluate() {
    double maxOverAllowed = 0;
    double maxOverBound = 0;
    double notified = 0;
    double given = 0;
    Deque<Sent> period = new ArrayDeque<>();
    for (Sent attempt : attemptsToColdEngine) {
      period.addLast(attempt);
      while (period.peekFirst().at <= attempt.at - SLOW_START_PERIOD) {
        period.pollFirst();
      }
      double sum = period.stream().mapToDouble(Sent::work).sum() / meanWork;
      double allowed =
          MULTIPLE
              * CORES
              * SLOW_START_PERIOD
              * warmCapacity(attempt.at - SLOW_START_PERIOD)
              / meanWork;
      double bound = allowed + 2 * Math.sqrt(allowed) + 2;
      maxOverAllowed = Math.max(maxOverAllowed, sum / allowed);
      maxOverBound = Math.max(maxOverBound, sum / bound);
      notified =
          Math.max(
              notified,
              period.stream().filter(Sent::notified).mapToDouble(Sent::work).sum()
                  / meanWork
                  / bound);
      given += attempt.at > startAt + SLOW_START_PERIOD ? attempt.work : 0;
    }
    double possible = 0;
    for (long time = startAt + SLOW_START_PERIOD;
        time < startAt + WARMUP_TIME;
        time += SECOND / 10) {
      possible += CORES * warmCapacity(time) * SECOND / 10;
    }
    return new Start(maxOverAllowed, maxOverBound, given / possible, notified);
  }
}
