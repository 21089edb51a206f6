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
 * A simulation, in virtual time, of one cold engine in a fleet and of the work that many gateways,
 * each with its own policy, send to it together. Requests arrive as Poisson processes with a
 * different rate for each gateway, each gateway is notified of the start after a different delay,
 * and a tenth of the gateways restart meanwhile. Times are tenths of a millisecond.
 */
final class SlowStartSimulation {
  /** The reason why the engine is cold. */
  enum Kind {
    /** The engine is new. */
    NEW,
    /**
     * The engine's process is replaced: its connections break, and gateways that are not notified
     * yet send it as much as a warm engine.
     */
    REPLACED,
    /**
     * The engine is silent for eight seconds. Attempts sent to it wait in the network, and those
     * that no gateway has cancelled or lost by the end of the silence reach the new process.
     */
    SILENT
  }

  /**
   * The result of one simulated start.
   *
   * @param maxOverAllowed the largest work sent in any period, divided by the work N that the
   *     settings allow in that period
   * @param maxOverBound the same, divided by the bound N + 2 sqrt(N) + 2
   * @param usedShare the work sent later than one period after the start, divided by the work that
   *     the engine can do in that time
   * @param maxOverBoundNotified the largest work that gateways sent in any period after they were
   *     notified, divided by the bound
   */
  record Result(
      double maxOverAllowed, double maxOverBound, double usedShare, double maxOverBoundNotified) {}

  private static final long SECOND = 10_000;
  private static final long SLOW_START_PERIOD = 3 * SECOND;
  private static final long WARMUP_TIME = 13 * SECOND;
  private static final double START_CAPACITY = 0.3;
  private static final double SLOW_START_MULTIPLE = 2.5;
  private static final int CORES = 4;
  private static final int ENGINES = 12;
  private static final long SILENCE = 8 * SECOND;
  private static final long CONNECTION_LOST_AFTER = 3 * SECOND / 4;
  private static final long LEAD_TIME = 12 * SECOND;
  private static final double UTILIZATION = 0.6;
  private static final double HEAVY_SHARE = 0.1;

  /** The mean work of the heavy request class, as a multiple of that of the light one. */
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
  private final List<SentAttempt> attemptsToColdEngine = new ArrayList<>();
  private final SimulatedGateway[] simulatedGateways;
  private long nextSequence;
  private long now;

  private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
    }
  }

  private record SentAttempt(long at, double work, boolean notified) {}

  /** A simulated engine whose attempts in flight share its cores. */
  private final class SimulatedEngine {
    final Map<Attempt, Double> workLeft = new LinkedHashMap<>();
    long updatedAt;
    long generation;

    /**
     * Subtracts the work done since the last update, applies a change to the attempts in flight,
     * and schedules an event for the time at which the next attempt completes.
     */
    void update(Runnable change) {
      double ratePerAttempt = rate();
      workLeft.replaceAll((attempt, work) -> work - (now - updatedAt) * ratePerAttempt);
      updatedAt = now;
      change.run();
      long scheduledGeneration = ++generation;
      double leastWorkLeft = workLeft.values().stream().mapToDouble(work -> work).min().orElse(-1);
      if (!workLeft.isEmpty() && rate() > 0) {
        at(
            now + 1 + (long) Math.max(0, leastWorkLeft / rate()),
            () -> {
              if (scheduledGeneration == generation) {
                finish();
              }
            });
      }
    }

    private void finish() {
      List<Attempt> completed = new ArrayList<>();
      update(
          () -> {
            workLeft.forEach(
                (attempt, work) -> {
                  if (work <= 1) {
                    completed.add(attempt);
                  }
                });
            completed.forEach(workLeft::remove);
          });
      completed.forEach(attempt -> gatewayOf(attempt).ended(attempt, AttemptOutcome.SUCCEEDED));
    }

    private double rate() {
      double capacity = CORES;
      if (this == cold) {
        capacity *= now < startAt ? isSilent() ? 0 : 1 : warmCapacity(now);
      }
      return workLeft.isEmpty() ? 0 : Math.min(1, capacity / workLeft.size());
    }
  }

  /**
   * Returns the share of its capacity that the cold engine has at a time. The start and the end of
   * the warm-up are stated by the settings; in between the engine follows the curve that the policy
   * assumes.
   */
  private double warmCapacity(long at) {
    double progress = Math.min(1, Math.max(0, (double) (at - startAt) / WARMUP_TIME));
    return START_CAPACITY + (1 - START_CAPACITY) * progress * progress;
  }

  private boolean isSilent() {
    return kind == Kind.SILENT && now >= startAt - SILENCE && now < startAt;
  }

  /** A simulated gateway. A restart replaces its policy. */
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
          simulatedEngine.update(
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
            -Math.log(1 - random.nextDouble()) * meanLightWork() * (heavy ? HEAVY_FACTOR : 1) + 10;
        double estimate = work * Math.exp(0.4 * random.nextGaussian());
        long clientTimeout = (long) (40 * meanWork);
        policy.onRequestArrived(
            now,
            new Request(
                new SimulatedRequest(this, incarnation, work),
                heavy ? 1 : 0,
                random.nextInt(50),
                false,
                now,
                now + clientTimeout,
                estimate,
                0,
                null));
        applyDecisions();
      }
      at(now + (long) (-Math.log(1 - random.nextDouble()) / rate), this::arrive);
    }

    void ended(Attempt attempt, AttemptOutcome outcome) {
      if (policy != null
          && simulatedRequest(attempt).incarnation == incarnation
          && attempt.isInFlight()) {
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
        attemptsToColdEngine.add(new SentAttempt(now, simulatedRequest(attempt).work, notified));
      }
      simulatedEngine.update(
          () -> simulatedEngine.workLeft.put(attempt, simulatedRequest(attempt).work));
      if (simulatedEngine == cold && isSilent()) {
        scheduleConnectionLoss(attempt);
      }
    }

    @Override
    public void cancelAttempt(Attempt attempt) {
      SimulatedEngine simulatedEngine = engines.get(attempt.engine);
      simulatedEngine.update(() -> simulatedEngine.workLeft.remove(attempt));
      at(now + 10, () -> ended(attempt, AttemptOutcome.CANCELLED));
    }

    @Override
    public void scheduleWakeup(long at) {
      if (at < wakeAt) {
        wakeAt = at;
        int scheduledIncarnation = incarnation;
        at(
            Math.max(at, now),
            () -> {
              if (policy != null && scheduledIncarnation == incarnation && wakeAt == at) {
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

  private record SimulatedRequest(SimulatedGateway gateway, int incarnation, double work) {}

  private static SimulatedRequest simulatedRequest(Attempt attempt) {
    return (SimulatedRequest) attempt.request.tag;
  }

  private static SimulatedGateway gatewayOf(Attempt attempt) {
    return simulatedRequest(attempt).gateway;
  }

  /**
   * Creates a simulation of one start.
   *
   * @param gateways the number of gateways
   * @param meanWork the mean work of a request, in tenths of a millisecond; N is initially 90,000 /
   *     meanWork
   * @param latestNotification the time after the start, in tenths of a millisecond, by which the
   *     last gateway is notified
   * @param kind the reason why the engine is cold
   * @param seed the seed of all random draws
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
    double[] trafficParts = new double[gateways];
    Arrays.setAll(trafficParts, i -> Math.exp(0.8 * random.nextGaussian()));
    double totalTraffic = Arrays.stream(trafficParts).sum();
    simulatedGateways = new SimulatedGateway[gateways];
    for (int i = 0; i < gateways; i++) {
      simulatedGateways[i] =
          new SimulatedGateway(
              i, trafficParts[i] / totalTraffic * UTILIZATION * ENGINES * CORES / meanWork);
      at(now + random.nextInt((int) SECOND), simulatedGateways[i]::arrive);
    }
  }

  private double meanLightWork() {
    return meanWork / (1 - HEAVY_SHARE + HEAVY_SHARE * HEAVY_FACTOR);
  }

  private Map<String, Object> settings() {
    Map<String, Object> settings =
        new HashMap<>(
            Map.of(
                "guarantees.fall_multiple",
                SLOW_START_MULTIPLE,
                "guarantees.fall",
                SLOW_START_PERIOD,
                "guarantees.start_capacity",
                START_CAPACITY,
                "guarantees.warm_within",
                WARMUP_TIME,
                "guarantees.drain_grace",
                5000L));
    settings.putAll(
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
      String prefix = "profiles." + i + ".";
      settings.put(prefix + "semantics", "repeatable");
      settings.put(prefix + "group", "all");
      settings.put(prefix + "aim", (long) (10 * meanWork));
      settings.put(prefix + "hard_limit", (long) (40 * meanWork));
      settings.put(prefix + "worth", i == 0 ? 1.0 : HEAVY_FACTOR);
    }
    return settings;
  }

  private void at(long when, Runnable action) {
    events.add(new Event(when, nextSequence++, action));
  }

  Result run() {
    if (kind == Kind.SILENT) {
      at(startAt - SILENCE - 1, this::beginSilence);
    }
    at(startAt, this::start);
    for (SimulatedGateway gateway : simulatedGateways) {
      at(startAt + 1 + random.nextInt((int) latestNotification), gateway::notifyOfStart);
      if (random.nextInt(10) == 0) {
        long stoppedAt = startAt - SECOND + random.nextInt(9 * (int) SECOND);
        at(stoppedAt, gateway::stop);
        at(stoppedAt + SECOND / 2, gateway::start);
      }
    }
    while (!events.isEmpty() && events.peek().at <= startAt + WARMUP_TIME) {
      Event next = events.poll();
      now = next.at;
      next.action.run();
    }
    return evaluate();
  }

  /**
   * Stops the attempts in flight on the cold engine; attempts sent from now on wait in the network.
   */
  private void beginSilence() {
    cold.update(() -> {});
    cold.generation++;
    List<Attempt> inFlight = new ArrayList<>(cold.workLeft.keySet());
    inFlight.forEach(this::scheduleConnectionLoss);
  }

  /** Ends an attempt as lost after the time in which its connection detects the silent engine. */
  private void scheduleConnectionLoss(Attempt attempt) {
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
          attempt ->
              attemptsToColdEngine.add(
                  new SentAttempt(now, simulatedRequest(attempt).work, false)));
      cold.updatedAt = now;
      cold.update(() -> {});
    }
  }

  /**
   * Computes the result, with work in units of the mean work of a request. N of a period is what
   * the engine can bear at the beginning of the period.
   */
  private Result evaluate() {
    double maxOverAllowed = 0;
    double maxOverBound = 0;
    double maxOverBoundNotified = 0;
    double sentWork = 0;
    Deque<SentAttempt> period = new ArrayDeque<>();
    for (SentAttempt attempt : attemptsToColdEngine) {
      period.addLast(attempt);
      while (period.peekFirst().at <= attempt.at - SLOW_START_PERIOD) {
        period.pollFirst();
      }
      double sum = period.stream().mapToDouble(SentAttempt::work).sum() / meanWork;
      double allowed =
          SLOW_START_MULTIPLE
              * CORES
              * SLOW_START_PERIOD
              * warmCapacity(attempt.at - SLOW_START_PERIOD)
              / meanWork;
      double bound = allowed + 2 * Math.sqrt(allowed) + 2;
      maxOverAllowed = Math.max(maxOverAllowed, sum / allowed);
      maxOverBound = Math.max(maxOverBound, sum / bound);
      maxOverBoundNotified =
          Math.max(
              maxOverBoundNotified,
              period.stream().filter(SentAttempt::notified).mapToDouble(SentAttempt::work).sum()
                  / meanWork
                  / bound);
      sentWork += attempt.at > startAt + SLOW_START_PERIOD ? attempt.work : 0;
    }
    double possibleWork = 0;
    for (long time = startAt + SLOW_START_PERIOD;
        time < startAt + WARMUP_TIME;
        time += SECOND / 10) {
      possibleWork += CORES * warmCapacity(time) * SECOND / 10;
    }
    return new Result(maxOverAllowed, maxOverBound, sentWork / possibleWork, maxOverBoundNotified);
  }
}
