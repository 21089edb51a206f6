package tillerlink.faultinjection.schedule;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.network.TcpProxy;
import tillerlink.faultinjection.process.GatewayProcess;

/** Begins and ends the faults of a schedule at their times. */
final class StepExecutor {
  /** The beginning or the end of a step. */
  private record Transition(long atMs, Step step, boolean begins) {}

  private final ProcessCluster cluster;
  private final DisruptionTracker disruptions;
  private final Consumer<String> onDiskLost;
  private final List<Step> active = new ArrayList<>();
  private final Map<Step.Kind, Integer> counts = new EnumMap<>(Step.Kind.class);

  /**
   * Creates an executor for the steps on a cluster.
   *
   * @param onDiskLost called with the name of a gateway before its disk is deleted or replaced by
   *     an older copy
   */
  StepExecutor(ProcessCluster cluster, DisruptionTracker disruptions, Consumer<String> onDiskLost) {
    this.cluster = cluster;
    this.disruptions = disruptions;
    this.onDiskLost = onDiskLost;
  }

  /** Runs all steps of a schedule, and returns at the end of its length. */
  void run(Schedule schedule) throws IOException {
    List<Transition> transitions = new ArrayList<>();
    for (Step step : schedule.steps()) {
      transitions.add(new Transition(step.atMs(), step, true));
      transitions.add(new Transition(step.atMs() + step.durationMs(), step, false));
    }
    transitions.sort(Comparator.comparingLong(Transition::atMs));
    long startNanos = System.nanoTime();
    for (Transition transition : transitions) {
      awaitTime(startNanos, transition.atMs);
      if (transition.begins) {
        if (begin(transition.step)) {
          active.add(transition.step);
          counts.merge(transition.step.kind(), 1, Integer::sum);
        }
      } else if (active.remove(transition.step)) {
        end(transition.step);
      }
      LinkBehaviours.apply(cluster.network(), cluster.names(), active);
    }
    awaitTime(startNanos, schedule.lengthMs());
  }

  private static void awaitTime(long startNanos, long atMs) {
    long ms = atMs - (System.nanoTime() - startNanos) / 1_000_000;
    if (ms > 0) {
      Load.pause(ms);
    }
  }

  /**
   * Returns whether a step affects the process of a gateway or all its clients. A gateway has at
   * most one such step at a time.
   */
  private static boolean disrupts(Step step) {
    return switch (step.kind()) {
      case STOPPED, KILLED, DISK_LOST, OLD_DISK, LEFT, CLIENTS_RESET -> true;
      default -> false;
    };
  }

  /** Begins a step; returns false, without effect, if the gateway is already disrupted. */
  private boolean begin(Step step) throws IOException {
    GatewayProcess gateway = cluster.gateway(step.who());
    if (disrupts(step)) {
      if (!gateway.isRunning() || isDisrupted(step.who())) {
        return false;
      }
      disruptions.begins(step.who());
    }
    inject(step, gateway);
    return true;
  }

  private boolean isDisrupted(String gateway) {
    return active.stream().anyMatch(other -> disrupts(other) && other.who().equals(gateway));
  }

  private void inject(Step step, GatewayProcess gateway) throws IOException {
    switch (step.kind()) {
      case STOPPED -> gateway.stop();
      case KILLED, DISK_LOST -> gateway.kill();
      case OLD_DISK -> {
        gateway.kill();
        gateway.copyDisk();
        restart(gateway);
      }
      case LEFT -> gateway.terminate();
      case CLIENTS_RESET -> cluster.clientProxy(step.who()).reset();
      case ENGINES_RESET -> cluster.engineProxies(step.who()).forEach(TcpProxy::reset);
      default -> {}
    }
  }

  private void end(Step step) throws IOException {
    GatewayProcess gateway = cluster.gateway(step.who());
    switch (step.kind()) {
      case STOPPED -> gateway.resume();
      case KILLED, LEFT -> restart(gateway);
      case DISK_LOST -> {
        onDiskLost.accept(step.who());
        gateway.loseDisk();
        restart(gateway);
      }
      case OLD_DISK -> {
        gateway.kill();
        onDiskLost.accept(step.who());
        gateway.restoreDisk();
        restart(gateway);
      }
      default -> {}
    }
    if (disrupts(step)) {
      disruptions.ends(step.who());
    }
  }

  private void restart(GatewayProcess gateway) throws IOException {
    gateway.start();
    cluster.awaitHealthy(gateway.name());
  }

  /** Returns the number of steps of each kind that have begun. */
  Map<Step.Kind, Integer> counts() {
    return counts;
  }
}
