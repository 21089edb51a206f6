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
 * One engine of a fleet starts cold, in virtual time: what many gateways, each a module of its own,
 * send it together. Traffic is Poisson and uneven by gateway, each is told of the start after a
 * time of its own, and a tenth of them restart meanwhile. Times are tenths of a millisecond.
 */
final class SlowStartSimulation {
  /** How the engine comes to be cold. */
  enum Kind {
    /** It was never there before. */
    NEW,
    /**
     * Its process is replaced: connections break, and gateways not yet told send it what a warm one
     * gets.
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
   * @param most the largest sum in any span over what the settings allow in it, N
   * @param bound the same over N + 2 root N + 2
   * @param given what the engine was given from a span after the start on, over what it can do
   * @param told the largest sum over its bound of what gateways sent that had been told
   */
  record Start(double most, double bound, double given, double told) {}

  private static final long SECOND = 10_000;
  private static final long FALL = 3 * SECOND;
  private static final long WARM = 13 * SECOND;
  private static final double COLD = 0.3;
  private static final double MULTIPLE = 2.5;
  private static final int CORES = 4;
  private static final int ENGINES = 12;
  private static final long SILENCE = 8 * SECOND;
  private static final long QUIET = 3 * SECOND / 4;
  private static final long BEFORE = 12 * SECOND;
  private static final double BUSY = 0.6;
  private static final double HEAVY_SHARE = 0.1;
  private static final double HEAVY =
      4; // the heavy request class's work, in times of the light one's

  private final int gateways;
  private final double meanWork;
  private final long latestNews;
  private final Random random;
  private final Kind kind;
  private final long startAt = 1_000_000_000L + BEFORE;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Server[] servers = new Server[ENGINES + 1];
  private final Server cold;
  private final List<Sent> sent = new ArrayList<>();
  private final Node[] nodes;
  private long order;
  private long now;

  private record Event(long at, long order, Runnable what) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private record Sent(long at, double work, boolean told) {}

  /** An engine: attempts share its cores. */
  private final class Server {
    final Map<Attempt, Double> left = new LinkedHashMap<>();
    long since;
    long turn;

    /**
     * Works off what was done since the last change, and comes back when the next attempt is
     * through.
     */
    void change(Runnable what) {
      double each = rate();
      left.replaceAll((attempt, work) -> work - (now - since) * each);
      since = now;
      what.run();
      long own = ++turn;
      double least = left.values().stream().mapToDouble(w -> w).min().orElse(-1);
      if (!left.isEmpty() && rate() > 0) {
        at(
            now + 1 + (long) Math.max(0, least / rate()),
            () -> {
              if (own == turn) {
                finish();
              }
            });
      }
    }

    private void finish() {
      List<Attempt> through = new ArrayList<>();
      change(
          () -> {
            left.forEach(
                (attempt, work) -> {
                  if (work <= 1) {
                    through.add(attempt);
                  }
                });
            through.forEach(left::remove);
          });
      through.forEach(attempt -> nodeOf(attempt).ended(attempt, AttemptOutcome.SUCCEEDED));
    }

    private double rate() {
      double all = CORES;
      if (this == cold) {
        all *= now < startAt ? silent() ? 0 : 1 : warmth(now);
      }
      return left.isEmpty() ? 0 : Math.min(1, all / left.size());
    }
  }

  /**
   * What the settings say of the engine's warmth for sure, and in between the curve that the module
   * takes.
   */
  private double warmth(long at) {
    double gone = Math.min(1, Math.max(0, (double) (at - startAt) / WARM));
    return COLD + (1 - COLD) * gone * gone;
  }

  private boolean silent() {
    return kind == Kind.SILENT && now >= startAt - SILENCE && now < startAt;
  }

  /** One gateway; a restart replaces its module. */
  private final class Node implements DispatchActions {
    final int me;
    final double rate;
    final Map<Engine, Server> engines = new IdentityHashMap<>();
    Engine coldEngine;
    DefaultDispatchPolicy policy;
    boolean told;
    long wakeAt;
    int life;

    Node(int me, double rate) {
      this.me = me;
      this.rate = rate;
      up();
    }

    void up() {
      life++;
      wakeAt = Long.MAX_VALUE;
      engines.clear();
      Map<String, Object> values = settings();
      values.put("me", (long) me);
      policy = new DefaultDispatchPolicy(now, random.nextLong(), values, this);
      List<EndpointUpdate> list = new ArrayList<>();
      for (Server server : servers) {
        Engine engine = new Engine(server);
        engines.put(engine, server);
        if (server == cold) {
          coldEngine = engine;
        }
        if (server != cold || kind != Kind.NEW || now >= startAt) {
          list.add(
              new EndpointUpdate(
                  engine,
                  0,
                  0,
                  0,
                  1,
                  Status.READY,
                  server == cold && now >= startAt ? startAt : 0));
        }
      }
      told = now >= startAt;
      policy.onEndpointsChanged(now, true, list);
      settle();
    }

    void down() {
      for (Server server : servers) {
        if (server.left.keySet().stream().anyMatch(attempt -> nodeOf(attempt) == this)) {
          server.change(() -> server.left.keySet().removeIf(attempt -> nodeOf(attempt) == this));
        }
      }
      policy = null;
    }

    void tell() {
      if (policy != null && !told) {
        told = true;
        policy.onEndpointsChanged(
            now, false, List.of(new EndpointUpdate(coldEngine, 0, 0, 0, 1, Status.READY, startAt)));
        settle();
      }
    }

    void arrive() {
      if (policy != null) {
        boolean heavy = random.nextDouble() < HEAVY_SHARE;
        double work = -Math.log(1 - random.nextDouble()) * light() * (heavy ? HEAVY : 1) + 10;
        double estimate = work * Math.exp(0.4 * random.nextGaussian());
        long patience = (long) (40 * meanWork);
        policy.onRequestArrived(
            now,
            new Request(
                new Job(this, life, work),
                heavy ? 1 : 0,
                random.nextInt(50),
                false,
                now,
                now + patience,
                estimate,
                0,
                null));
        settle();
      }
      at(now + (long) (-Math.log(1 - random.nextDouble()) / rate), this::arrive);
    }

    void ended(Attempt attempt, AttemptOutcome outcome) {
      if (policy != null && job(attempt).life == life && attempt.isInFlight()) {
        policy.onAttemptEnded(
            now,
            attempt,
            outcome,
            now - attempt.sentAt,
            outcome == AttemptOutcome.SUCCEEDED,
            0,
            0,
            null);
        settle();
      }
    }

    private void settle() {
      policy.applyDecisions(now);
    }

    @Override
    public void sendAttempt(Attempt attempt) {
      Server server = engines.get(attempt.engine);
      if (server == cold && now >= startAt) {
        sent.add(new Sent(now, job(attempt).work, told));
      }
      server.change(() -> server.left.put(attempt, job(attempt).work));
      if (server == cold && silent()) {
        giveUpLater(attempt);
      }
    }

    @Override
    public void cancelAttempt(Attempt attempt) {
      Server server = engines.get(attempt.engine);
      server.change(() -> server.left.remove(attempt));
      at(now + 10, () -> ended(attempt, AttemptOutcome.CANCELLED));
    }

    @Override
    public void scheduleWakeup(long at) {
      if (at < wakeAt) {
        wakeAt = at;
        int own = life;
        at(
            Math.max(at, now),
            () -> {
              if (policy != null && own == life && wakeAt == at) {
                wakeAt = Long.MAX_VALUE;
                policy.onWakeup(now);
                settle();
              }
            });
      }
    }

    @Override
    public void updatePriorityAndGrant(Request s, int rank, long grant) {}

    @Override
    public void rejectRequest(Request s, long retryAfter) {}

    @Override
    public void failRequest(Request s) {}

    @Override
    public void watchEndpoints() {}

    @Override
    public void log(String line) {}
  }

  private record Job(Node node, int life, double work) {}

  private static Job job(Attempt attempt) {
    return (Job) attempt.request.tag;
  }

  private static Node nodeOf(Attempt attempt) {
    return job(attempt).node;
  }

  /**
   * @param meanWork the mean work of a request; with it N is 90,000 / meanWork at first
   * @param latestNews after this time the last gateway is told of the start
   */
  SlowStartSimulation(int gateways, double meanWork, long latestNews, Kind kind, long seed) {
    this.latestNews = latestNews;
    this.gateways = gateways;
    this.meanWork = meanWork;
    this.kind = kind;
    random = new Random(seed);
    now = startAt - BEFORE;
    for (int i = 0; i < servers.length; i++) {
      servers[i] = new Server();
      servers[i].since = now;
    }
    cold = servers[ENGINES];
    double[] parts = new double[gateways];
    Arrays.setAll(parts, i -> Math.exp(0.8 * random.nextGaussian()));
    double all = Arrays.stream(parts).sum();
    nodes = new Node[gateways];
    for (int i = 0; i < gateways; i++) {
      nodes[i] = new Node(i, parts[i] / all * BUSY * ENGINES * CORES / meanWork);
      at(now + random.nextInt((int) SECOND), nodes[i]::arrive);
    }
  }

  private double light() {
    return meanWork / (1 - HEAVY_SHARE + HEAVY_SHARE * HEAVY);
  }

  private Map<String, Object> settings() {
    Map<String, Object> all =
        new HashMap<>(
            Map.of(
                "guarantees.fall_multiple",
                MULTIPLE,
                "guarantees.fall",
                FALL,
                "guarantees.start_capacity",
                COLD,
                "guarantees.warm_within",
                WARM,
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
      all.put(at + "worth", i == 0 ? 1.0 : HEAVY);
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
    for (Node node : nodes) {
      at(startAt + 1 + random.nextInt((int) latestNews), node::tell);
      if (random.nextInt(10) == 0) {
        long down = startAt - SECOND + random.nextInt(9 * (int) SECOND);
        at(down, node::down);
        at(down + SECOND / 2, node::up);
      }
    }
    while (!events.isEmpty() && events.peek().at <= startAt + WARM) {
      Event next = events.poll();
      now = next.at;
      next.what.run();
    }
    return weigh();
  }

  /** What is out on the engine stands still; what is sent to it from now on waits on the way. */
  private void fallSilent() {
    cold.change(() -> {});
    cold.turn++;
    List<Attempt> out = new ArrayList<>(cold.left.keySet());
    out.forEach(this::giveUpLater);
  }

  /** As the connections do with an engine that answers no question. */
  private void giveUpLater(Attempt attempt) {
    at(
        now + QUIET,
        () -> {
          if (silent() && cold.left.remove(attempt) != null) {
            nodeOf(attempt).ended(attempt, AttemptOutcome.CONNECTION_LOST);
          }
        });
  }

  private void start() {
    List<Attempt> out = new ArrayList<>(cold.left.keySet());
    if (kind == Kind.REPLACED) {
      cold.left.clear();
      cold.turn++;
      out.forEach(attempt -> nodeOf(attempt).ended(attempt, AttemptOutcome.CONNECTION_LOST));
    } else {
      out.forEach(attempt -> sent.add(new Sent(now, job(attempt).work, false)));
      cold.since = now;
      cold.change(() -> {});
    }
  }

  /** In requests of mean work; N of a span as the engine bears at its beginning. */
  private Start weigh() {
    double most = 0;
    double bound = 0;
    double told = 0;
    double given = 0;
    Deque<Sent> span = new ArrayDeque<>();
    for (Sent s : sent) {
      span.addLast(s);
      while (span.peekFirst().at <= s.at - FALL) {
        span.pollFirst();
      }
      double sum = span.stream().mapToDouble(Sent::work).sum() / meanWork;
      double n = MULTIPLE * CORES * FALL * warmth(s.at - FALL) / meanWork;
      double may = n + 2 * Math.sqrt(n) + 2;
      most = Math.max(most, sum / n);
      bound = Math.max(bound, sum / may);
      told =
          Math.max(
              told,
              span.stream().filter(Sent::told).mapToDouble(Sent::work).sum() / meanWork / may);
      given += s.at > startAt + FALL ? s.work : 0;
    }
    double can = 0;
    for (long t = startAt + FALL; t < startAt + WARM; t += SECOND / 10) {
      can += CORES * warmth(t) * SECOND / 10;
    }
    return new Start(most, bound, given / can, told);
  }
}
