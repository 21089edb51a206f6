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

/** Runs one schedule on gateway processes under load, and checks the rules. */
final class SoakRun implements Closeable {
  private static final long RELOAD_INTERVAL_MS = 50;
  private static final double REQUESTS_PER_SECOND = 8;

  /** The time for which a draining engine still runs after the end of its fault. */
  private static final long DRAIN_STAY_MS = 3_000;

  /**
   * The result of a run.
   *
   * @param violations the first violations of each rule
   * @param counts the number of violations of each rule
   * @param faults the number of injected faults of each kind
   * @param pairs the number of times that two kinds of fault overlapped, by both names
   * @param requests the number of requests
   * @param served the number of requests that succeeded
   * @param refused the number of requests that were refused
   * @param attempts the number of attempts that reached an engine
   * @param worstLag the greatest lag of the harness, in milliseconds
   */
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

  /** The beginning or the end of a fault. */
  private record Transition(double atMs, SoakFault fault, boolean begins) {}

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

  /** Begins and ends all faults at their times, and waits until all have ended. */
  private void injectFaults(double start) {
    List<Transition> transitions = new ArrayList<>();
    for (SoakFault fault : schedule.faults()) {
      transitions.add(new Transition(fault.atMs(), fault, true));
      transitions.add(new Transition(fault.atMs() + fault.durationMs(), fault, false));
    }
    transitions.sort(Comparator.comparingDouble(Transition::atMs));
    CountDownLatch unfinished = new CountDownLatch(transitions.size());
    for (Transition transition : transitions) {
      pauseUntil(start + transition.atMs);
      faultExecutor.execute(
          () -> {
            try {
              beginOrEnd(transition);
            } catch (IOException | RuntimeException e) {
              oracle.inside(transition.fault + " could not be injected: " + e);
            } finally {
              unfinished.countDown();
            }
          });
    }
    pauseUntil(start + schedule.lengthMs());
    awaitLatch(unfinished);
  }

  private void pauseUntil(double time) {
    double left = time - clock.now();
    if (left > 0) {
      SoakGateways.pause((long) left);
    }
  }

  private static void awaitLatch(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // ---- faults ----

  private void beginOrEnd(Transition transition) throws IOException {
    SoakFault fault = transition.fault;
    if (!mayProceed(transition)) {
      return;
    }
    // Changes of the same process are serialized.
    synchronized (lockOf(fault)) {
      if (fault.kind().target == SoakFault.Target.ENGINE) {
        engineFault(fault, transition.begins);
      } else {
        gatewayFault(fault, transition.begins);
      }
    }
    if (!transition.begins) {
      synchronized (active) {
        active.remove(fault);
      }
    }
  }

  /**
   * Returns whether a transition may proceed. A beginning may if the fault does not clash with an
   * active one, and is then counted; an end may if the fault has begun.
   */
  private boolean mayProceed(Transition transition) {
    SoakFault fault = transition.fault;
    synchronized (active) {
      if (!transition.begins) {
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
    String key = changesProcess(fault) ? fault.kind().target + " " + fault.who() : fault.toString();
    return locks.computeIfAbsent(key, any -> new Object());
  }

  private static String pair(SoakFault.Kind one, SoakFault.Kind other) {
    return one.compareTo(other) <= 0 ? one + "+" + other : other + "+" + one;
  }

  /**
   * Returns whether an active fault excludes another one: a fault of the same kind with the same
   * target, or one that also changes the process of that target.
   */
  private boolean clashes(SoakFault fault) {
    return active.stream()
        .anyMatch(
            other ->
                other.who() == fault.who()
                    && other.kind().target == fault.kind().target
                    && (other.kind() == fault.kind()
                        || (changesProcess(other) && changesProcess(fault))));
  }

  /** Returns whether a fault changes the process of its target. */
  private static boolean changesProcess(SoakFault fault) {
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

  /** Returns the share of lost datagrams, or the greatest delay in milliseconds. */
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

  /**
   * Replaces the process of an engine by a new one at the same address.
   *
   * @param first {@code GONE} if the engine is first removed from the list for a second, or {@code
   *     READY}
   */
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
