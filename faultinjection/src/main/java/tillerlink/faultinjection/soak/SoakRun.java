package tillerlink.faultinjection.soak;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;

/** Runs one schedule on real processes under load, and checks the rules. */
final class SoakRun implements Closeable {
  private static final long RELOAD_INTERVAL_MS = 50;
  private static final double REQUESTS_PER_SECOND = 8;

  /** How long an engine that is replaced or drained still runs after its drain was listed. */
  private static final long DRAIN_STAY_MS = 3_000;

  /** The result of a run. */
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

  /** The begin or the end of a fault. */
  private record Moment(double atMs, SoakFault fault, boolean begins) {}

  private final SoakSchedule schedule;
  private final SoakClock clock = new SoakClock();
  private final SoakTimer timer = new SoakTimer();
  private final ExecutorService faultExecutor =
      Executors.newCachedThreadPool(work -> daemon(work, "soak-fault"));
  private final SoakOracle oracle;
  private final SoakDiscovery discovery;
  private final SoakEngines engines;
  private final SoakGateways gateways;
  private final SoakLoad load;
  private final Map<String, Object> locks = new ConcurrentHashMap<>();
  private final List<SoakFault> active = new ArrayList<>();
  private final Map<SoakFault.Kind, Integer> faults = new EnumMap<>(SoakFault.Kind.class);
  private final Map<String, Integer> pairs = new TreeMap<>();

  SoakRun(SoakSchedule schedule, Path folder, String classPath) throws IOException {
    this.schedule = schedule;
    oracle = new SoakOracle(clock, new ServiceHistory(this::discovery, this::gateways));
    discovery = new SoakDiscovery(schedule.gateways(), clock, timer, schedule.seed());
    engines =
        new SoakEngines(
            schedule.engines(), schedule.gateways(), oracle, clock, timer, schedule.seed());
    gateways =
        new SoakGateways(
            schedule.gateways(), folder, classPath, discovery, engines::port, oracle, clock);
    load = new SoakLoad(gateways, oracle, clock, REQUESTS_PER_SECOND, schedule.seed());
    for (int engine = 0; engine < schedule.engines(); engine++) {
      discovery.update(entry(engine, Status.READY, 0));
    }
    discovery.adaptEntries(
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

  private SoakDiscovery discovery() {
    return discovery;
  }

  private SoakGateways gateways() {
    return gateways;
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
        SoakSettings.ZONES.get(engine % 2),
        "std",
        0,
        standing,
        1,
        startedMs);
  }

  private static int number(String engine) {
    return Integer.parseInt(engine.substring(1));
  }

  Result run() throws IOException {
    for (int i = 0; i < gateways.count(); i++) {
      gateways.start(i);
    }
    for (int i = 0; i < gateways.count(); i++) {
      gateways.awaitReady(i);
    }
    load.begin();
    injectFaults(clock.now());
    load.end();
    gateways.reportCrashes();
    gateways.reportInside();
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

  /** Begins and ends all faults at their times, and waits until the last one has ended. */
  private void injectFaults(double start) {
    List<Moment> moments = new ArrayList<>();
    for (SoakFault fault : schedule.faults()) {
      moments.add(new Moment(fault.atMs(), fault, true));
      moments.add(new Moment(fault.atMs() + fault.lastsMs(), fault, false));
    }
    moments.sort(Comparator.comparingDouble(Moment::atMs));
    CountDownLatch unfinished = new CountDownLatch(moments.size());
    for (Moment moment : moments) {
      pauseUntil(start + moment.atMs);
      faultExecutor.execute(
          () -> {
            try {
              beginOrEnd(moment);
            } catch (IOException | RuntimeException e) {
              oracle.inside(moment.fault + " could not be brought about: " + e);
            } finally {
              unfinished.countDown();
            }
          });
    }
    pauseUntil(start + schedule.lengthMs());
    await(unfinished);
  }

  private void pauseUntil(double time) {
    double left = time - clock.now();
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

  private void beginOrEnd(Moment moment) throws IOException {
    SoakFault fault = moment.fault;
    if (!mayProceed(moment)) {
      return;
    }
    // Faults that need the same process run one after the other.
    synchronized (lockOf(fault)) {
      if (fault.kind().target == SoakFault.Target.ENGINE) {
        engineFault(fault, moment.begins);
      } else {
        gatewayFault(fault, moment.begins);
      }
    }
    if (!moment.begins) {
      synchronized (active) {
        active.remove(fault);
      }
    }
  }

  /**
   * Whether a fault can begin together with the active ones, which is counted; or has begun, so
   * that it can end.
   */
  private boolean mayProceed(Moment moment) {
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
   * Whether an active fault excludes it: one of the same kind at the same place, or another one
   * that needs the process.
   */
  private boolean clashes(SoakFault fault) {
    return active.stream()
        .anyMatch(
            other ->
                other.who() == fault.who()
                    && other.kind().target == fault.kind().target
                    && (other.kind() == fault.kind()
                        || (needsProcess(other) && needsProcess(fault))));
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

  private void gatewayFault(SoakFault fault, boolean begins) throws IOException {
    int who = fault.who();
    switch (fault.kind()) {
      case STOPPED, KILLED, TERMINATED -> processFault(fault.kind(), who, begins);
      case RELOADED, RELOADED_THRICE -> {
        if (begins) {
          reload(who, fault.kind() == SoakFault.Kind.RELOADED ? 1 : 3);
        }
      }
      case CLIENTS_FLOOD -> {
        if (begins) {
          load.flood(who);
        }
      }
      case DIAL_LATE, PARTED -> engines.setLink(who, fault.kind(), begins);
      default -> discovery.set(who, fault.kind(), discoveryAmount(fault), begins);
    }
  }

  /** A share of losses, or a delay in milliseconds. */
  private static double discoveryAmount(SoakFault fault) {
    return switch (fault.kind()) {
      case NAMES_LOSSY -> 0.05 + 0.15 * fault.amount();
      case NAMES_SLOW -> 50 + 300 * fault.amount();
      default -> fault.amount();
    };
  }

  private void processFault(SoakFault.Kind kind, int gateway, boolean begins) throws IOException {
    if (kind == SoakFault.Kind.STOPPED) {
      if (begins) {
        gateways.stop(gateway);
      } else {
        gateways.resume(gateway);
      }
    } else if (!begins) {
      gateways.start(gateway);
      gateways.awaitReady(gateway);
    } else if (kind == SoakFault.Kind.KILLED) {
      gateways.kill(gateway);
    } else {
      gateways.terminate(gateway);
    }
  }

  private void reload(int gateway, int times) throws IOException {
    for (int i = 0; i < times; i++) {
      discovery.move(gateway);
      gateways.reload(gateway);
      SoakGateways.pause(RELOAD_INTERVAL_MS);
    }
  }

  private void engineFault(SoakFault fault, boolean begins) {
    int who = fault.who();
    switch (fault.kind()) {
      case ENGINE_DRAINS -> {
        if (begins) {
          discovery.update(entry(who, Status.DRAINING, 0));
        } else {
          SoakGateways.pause(DRAIN_STAY_MS);
          replace(who, Status.GONE);
        }
      }
      case ENGINE_CRASHES -> {
        if (begins) {
          engines.down(who);
        } else {
          replace(who, Status.READY);
        }
      }
      case ENGINE_VANISHES -> {
        engines.set(who, fault.kind(), begins);
        if (begins) {
          discovery.update(entry(who, Status.GONE, 0));
        } else {
          replace(who, Status.READY);
        }
      }
      default -> engines.set(who, fault.kind(), begins);
    }
  }

  /** Starts a new process at the address of an engine, possibly listed as gone for a moment. */
  private void replace(int engine, Status first) {
    if (first == Status.GONE) {
      discovery.update(entry(engine, Status.GONE, 0));
      engines.down(engine);
      SoakGateways.pause(DRAIN_STAY_MS / 3);
    } else {
      engines.down(engine);
    }
    engines.up(engine);
    discovery.update(entry(engine, Status.READY, System.currentTimeMillis()));
  }

  @Override
  public void close() throws IOException {
    gateways.close();
    discovery.close();
    engines.close();
    timer.close();
    faultExecutor.shutdownNow();
    clock.end();
  }
}
