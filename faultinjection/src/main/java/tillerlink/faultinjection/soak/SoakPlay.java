package tillerlink.faultinjection.soak;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;

/** Plays one schedule over real processes with load, and judges it. */
final class SoakPlay implements Closeable {
  private static final int TIMERS = 4;
  private static final double REQUESTS_PER_SECOND = 8;

  /**
   * How long an engine that is replaced or has drained is still there after its drain was listed.
   */
  private static final long STAYS_MS = 3_000;

  /** What came of a schedule. */
  record Result(
      List<SoakViolation> violations,
      Map<SoakRule, Integer> counts,
      Map<SoakFault.Kind, Integer> faults,
      Map<String, Integer> pairs,
      int requests,
      long served,
      long refused,
      int attempts,
      double worstLag) {}

  /** One of a pair: when a fault begins, and when it ends. */
  private record Moment(double atMs, SoakFault fault, boolean begins) {}

  private final SoakSchedule schedule;
  private final SoakClock clock = new SoakClock();
  private final ScheduledExecutorService later =
      new ScheduledThreadPoolExecutor(TIMERS, work -> daemon(work, "soak-timer"));
  private final ExecutorService doing =
      Executors.newCachedThreadPool(work -> daemon(work, "soak-fault"));
  private final SoakOracle oracle;
  private final SoakNames names;
  private final SoakEngines engines;
  private final SoakGateways gateways;
  private final SoakLoad load;
  private final Map<String, Object> locks = new java.util.concurrent.ConcurrentHashMap<>();
  private final List<SoakFault> active = new ArrayList<>();
  private final Map<SoakFault.Kind, Integer> faults = new EnumMap<>(SoakFault.Kind.class);
  private final Map<String, Integer> pairs = new java.util.TreeMap<>();

  SoakPlay(SoakSchedule schedule, Path folder, String classPath) throws IOException {
    this.schedule = schedule;
    oracle = new SoakOracle(clock, new Knowledge());
    names = new SoakNames(schedule.gateways(), clock, later, schedule.seed());
    engines =
        new SoakEngines(
            schedule.engines(), schedule.gateways(), oracle, clock, later, schedule.seed());
    gateways =
        new SoakGateways(
            schedule.gateways(), folder, classPath, names, engines::port, oracle, clock);
    load = new SoakLoad(gateways, oracle, clock, REQUESTS_PER_SECOND, schedule.seed());
    for (int e = 0; e < schedule.engines(); e++) {
      names.happens(entry(e, Status.READY, 0));
    }
    names.listFor(
        (entry, gateway) ->
            new EndpointEntry(
                entry.id(),
                entry.address(),
                engines.port(number(entry.id()), gateway),
                entry.zone(),
                entry.kind(),
                entry.cell(),
                entry.standing(),
                entry.weight(),
                entry.startedMs()));
  }

  private static Thread daemon(Runnable work, String name) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    return thread;
  }

  private static EndpointEntry entry(int engine, Status standing, long startedMs) {
    return new EndpointEntry(
        "e" + engine,
        "127.0.0.1",
        1,
        SoakTerms.ZONES.get(engine % 2),
        "std",
        0,
        standing,
        1,
        startedMs);
  }

  private static int number(String engine) {
    return Integer.parseInt(engine.substring(1));
  }

  Result play() throws IOException {
    for (int i = 0; i < gateways.count(); i++) {
      gateways.start(i);
    }
    for (int i = 0; i < gateways.count(); i++) {
      gateways.awaitReady(i);
    }
    load.begin();
    double began = clock.now();
    List<Moment> moments = new ArrayList<>();
    for (SoakFault fault : schedule.faults()) {
      moments.add(new Moment(fault.atMs(), fault, true));
      moments.add(new Moment(fault.atMs() + fault.lastsMs(), fault, false));
    }
    moments.sort(Comparator.comparingDouble(Moment::atMs));
    CountDownLatch left = new CountDownLatch(moments.size());
    for (Moment moment : moments) {
      pauseUntil(began + moment.atMs);
      doing.execute(
          () -> {
            try {
              befall(moment);
            } catch (IOException | RuntimeException e) {
              oracle.inside(moment.fault + " could not be brought about: " + e);
            } finally {
              left.countDown();
            }
          });
    }
    pauseUntil(began + schedule.lengthMs());
    await(left);
    load.end();
    gateways.lookForCrashes();
    gateways.lookInside();
    List<SoakViolation> violations = oracle.end();
    return new Result(
        violations,
        oracle.counts(),
        faults,
        pairs,
        oracle.requests(),
        oracle.served(),
        oracle.refused(),
        oracle.attempts(),
        clock.worstLag());
  }

  private void pauseUntil(double at) {
    double left = at - clock.now();
    if (left > 0) {
      SoakGateways.pause((long) left);
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // ---- faults ----

  private void befall(Moment moment) throws IOException {
    SoakFault fault = moment.fault;
    if (!mayBefall(moment)) {
      return;
    }
    // What takes its time, as an end by SIGTERM, is over before the next that needs the same
    // process.
    synchronized (lockOf(fault)) {
      if (fault.kind().target == SoakFault.Target.ENGINE) {
        befallEngine(fault, moment.begins);
      } else {
        befallGateway(fault, moment.begins);
      }
    }
    if (!moment.begins) {
      synchronized (active) {
        active.remove(fault);
      }
    }
  }

  /**
   * Whether a fault can begin beside those of now, which is counted; or whether it had begun, so
   * that it can end.
   */
  private boolean mayBefall(Moment moment) {
    SoakFault fault = moment.fault;
    synchronized (active) {
      if (!moment.begins) {
        return active.contains(fault);
      }
      if (clashes(fault)) {
        return false;
      }
      active.forEach(other -> pairs.merge(pair(other.kind(), fault.kind()), 1, Integer::sum));
      active.add(fault);
      faults.merge(fault.kind(), 1, Integer::sum);
      return true;
    }
  }

  private Object lockOf(SoakFault fault) {
    String key = needsProcess(fault) ? fault.kind().target + " " + fault.who() : fault.toString();
    return locks.computeIfAbsent(key, any -> new Object());
  }

  private static String pair(SoakFault.Kind one, SoakFault.Kind other) {
    return one.compareTo(other) <= 0 ? one + "+" + other : other + "+" + one;
  }

  /**
   * Two that can't be brought about together: of the same kind at the same place, or that need the
   * process both.
   */
  private boolean clashes(SoakFault fault) {
    return active.stream()
        .anyMatch(
            other ->
                other.who() == fault.who()
                    && other.kind().target == fault.kind().target
                    && (other.kind() == fault.kind()
                        || needsProcess(other) && needsProcess(fault)));
  }

  private static boolean needsProcess(SoakFault fault) {
    return switch (fault.kind()) {
      case STOPPED,
          KILLED,
          TERMINATED,
          RELOADED,
          RELOADED_THRICE,
          ENGINE_DRAINS,
          ENGINE_VANISHES,
          ENGINE_CRASHES ->
          true;
      default -> false;
    };
  }

  private void befallGateway(SoakFault fault, boolean begins) throws IOException {
    int who = fault.who();
    switch (fault.kind()) {
      case STOPPED -> {
        if (begins) {
          gateways.stop(who);
        } else {
          gateways.goOn(who);
        }
      }
      case KILLED, TERMINATED -> {
        if (!begins) {
          gateways.start(who);
          gateways.awaitReady(who);
        } else if (fault.kind() == SoakFault.Kind.KILLED) {
          gateways.kill(who);
        } else {
          gateways.terminate(who);
        }
      }
      case RELOADED, RELOADED_THRICE -> {
        for (int i = 0; begins && i < (fault.kind() == SoakFault.Kind.RELOADED ? 1 : 3); i++) {
          names.moves(who);
          gateways.reload(who);
          SoakGateways.pause(50);
        }
      }
      case NAMES_LOSSY -> names.set(who, fault.kind(), 0.05 + 0.15 * fault.amount(), begins);
      case NAMES_SLOW -> names.set(who, fault.kind(), 50 + 300 * fault.amount(), begins);
      case NAMES_DOWN, NAMES_REORDERED, NAMES_OLDER, NAMES_TRUNCATED, NAMES_WAY_SILENT ->
          names.set(who, fault.kind(), fault.amount(), begins);
      case CLIENTS_FLOOD -> {
        if (begins) {
          load.flood(who);
        }
      }
      default -> engines.setWay(who, fault.kind(), begins);
    }
  }

  private void befallEngine(SoakFault fault, boolean begins) {
    int who = fault.who();
    switch (fault.kind()) {
      case ENGINE_DRAINS -> {
        if (begins) {
          names.happens(entry(who, Status.DRAINING, 0));
        } else {
          SoakGateways.pause(STAYS_MS);
          replaced(who, Status.GONE);
        }
      }
      case ENGINE_CRASHES -> {
        if (begins) {
          engines.down(who);
        } else {
          replaced(who, Status.READY);
        }
      }
      case ENGINE_VANISHES -> {
        engines.set(who, fault.kind(), begins);
        if (begins) {
          names.happens(entry(who, Status.GONE, 0));
        } else {
          replaced(who, Status.READY);
        }
      }
      default -> engines.set(who, fault.kind(), begins);
    }
  }

  /** A new process at its address, after it was listed as gone for a moment if it is to be. */
  private void replaced(int engine, Status first) {
    if (first == Status.GONE) {
      names.happens(entry(engine, Status.GONE, 0));
      engines.down(engine);
      SoakGateways.pause(STAYS_MS / 3);
    } else {
      engines.down(engine);
    }
    engines.up(engine);
    names.happens(entry(engine, Status.READY, System.currentTimeMillis()));
  }

  // ---- what the oracle may know ----

  /** From the discovery service's record of what it sent. */
  private final class Knowledge implements SoakOracle.Told {
    @Override
    public double notReadyAt(int gateway, int engine, double at) {
      double since = Double.MAX_VALUE;
      for (SoakNames.Event event : names.eventsOf("e" + engine)) {
        double toldAt =
            names.toldAt(
                gateway, event, gateways.startedAt(gateway), gateways.indexAtStart(gateway));
        if (event.entry().standing() == Status.READY) {
          // Whoever was told, or could have been, may send there again.
          since = event.at() <= at ? Double.MAX_VALUE : since;
        } else {
          since = Math.min(since, toldAt);
        }
      }
      return since;
    }

    @Override
    public double startedAt(int engine, double at) {
      double started = 0;
      for (SoakNames.Event event : names.eventsOf("e" + engine)) {
        if (event.at() <= at
            && event.entry().standing() == Status.READY
            && event.entry().startedMs() > 0) {
          started = event.at();
        }
      }
      return started;
    }

    @Override
    public double startToldAt(int gateway, int engine, double at) {
      double told = Double.MAX_VALUE;
      for (SoakNames.Event event : names.eventsOf("e" + engine)) {
        if (event.at() <= at
            && event.entry().standing() == Status.READY
            && event.entry().startedMs() > 0) {
          told =
              names.toldAt(
                  gateway, event, gateways.startedAt(gateway), gateways.indexAtStart(gateway));
        }
      }
      return told;
    }

    @Override
    public boolean inFirstZone(int engine) {
      return SoakTerms.ZONES.get(engine % 2).equals(SoakTerms.ZONES.get(0));
    }
  }

  @Override
  public void close() throws IOException {
    gateways.close();
    names.close();
    engines.close();
    later.shutdownNow();
    doing.shutdownNow();
    clock.end();
  }
}
