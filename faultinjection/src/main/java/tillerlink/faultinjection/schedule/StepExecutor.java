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

/** Injects the faults of a schedule, and ends them. */
final class StepExecutor {
  /** The begin or the end of a step. */
  private record Moment(long atMs, Step step, boolean begins) {}

  private final ProcessCluster cluster;
  private final DisruptionTracker disruptions;
  private final Consumer<String> diskLost;
  private final List<Step> active = new ArrayList<>();
  private final Map<Step.Kind, Integer> counts = new EnumMap<>(Step.Kind.class);

  /**
   * Executes steps on that cluster.
   *
   * @param diskLost called before a gateway starts with less on its disk than it had
   */
  StepExecutor(ProcessCluster cluster, DisruptionTracker disruptions, Consumer<String> diskLost) {
    this.cluster = cluster;
    this.disruptions = disruptions;
    this.diskLost = diskLost;
  }

  /** Runs all steps at their times. */
  void run(Schedule schedule) throws IOException {
    List<Moment> moments = new ArrayList<>();
    for (Step step : schedule.steps()) {
      moments.add(new Moment(step.atMs(), step, true));
      moments.add(new Moment(step.atMs() + step.lastsMs(), step, false));
    }
    moments.sort(Comparator.comparingLong(Moment::atMs));
    long startNanos = System.nanoTime();
    for (Moment moment : moments) {
      awaitTime(startNanos, moment.atMs);
      if (moment.begins) {
        if (begin(moment.step)) {
          active.add(moment.step);
          counts.merge(moment.step.kind(), 1, Integer::sum);
        }
      } else if (active.remove(moment.step)) {
        end(moment.step);
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
   * Whether it hits the process itself or all its clients; a gateway has one of these at a time.
   */
  private static boolean disrupts(Step step) {
    return switch (step.kind()) {
      case STOPPED, KILLED, DISK_LOST, OLD_DISK, LEFT, CLIENTS_RESET -> true;
      default -> false;
    };
  }

  /** Begins a step; false if another one already disrupts the gateway. */
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
        diskLost.accept(step.who());
        gateway.loseDisk();
        restart(gateway);
      }
      case OLD_DISK -> {
        gateway.kill();
        diskLost.accept(step.who());
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

  Map<Step.Kind, Integer> counts() {
    return counts;
  }
}
