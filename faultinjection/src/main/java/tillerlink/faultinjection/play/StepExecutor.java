package tillerlink.faultinjection.play;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import tillerlink.faultinjection.fabric.Door;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.process.GatewayProcess;

/** Brings a schedule's faults about, and takes them back. */
final class StepExecutor {
  /** One of a pair: when a step begins, and when it ends. */
  private record Moment(long atMs, Step step, boolean begins) {}

  private final ProcessCluster rig;
  private final Disturbed disturbed;
  private final Consumer<String> diskLost;
  private final List<Step> active = new ArrayList<>();
  private final Map<Step.Kind, Integer> counts = new EnumMap<>(Step.Kind.class);

  /**
   * @param diskLost told before a gateway starts with less on its disk than it had
   */
  StepExecutor(ProcessCluster rig, Disturbed disturbed, Consumer<String> diskLost) {
    this.rig = rig;
    this.disturbed = disturbed;
    this.diskLost = diskLost;
  }

  /** Plays all steps at their times. */
  void play(Schedule schedule) throws IOException {
    List<Moment> moments = new ArrayList<>();
    for (Step step : schedule.steps()) {
      moments.add(new Moment(step.atMs(), step, true));
      moments.add(new Moment(step.atMs() + step.lastsMs(), step, false));
    }
    moments.sort(java.util.Comparator.comparingLong(Moment::atMs));
    long began = System.nanoTime();
    for (Moment moment : moments) {
      awaits(began, moment.atMs);
      if (moment.begins) {
        if (begin(moment.step)) {
          active.add(moment.step);
          counts.merge(moment.step.kind(), 1, Integer::sum);
        }
      } else if (active.remove(moment.step)) {
        end(moment.step);
      }
      Ways.set(rig.fabric, rig.names(), active);
    }
    awaits(began, schedule.lengthMs());
  }

  private static void awaits(long began, long atMs) {
    long ms = atMs - (System.nanoTime() - began) / 1_000_000;
    if (ms > 0) {
      Load.pause(ms);
    }
  }

  /** Whether it befalls the process itself, or all its clients; one of these at a time. */
  private static boolean disturbs(Step step) {
    return switch (step.kind()) {
      case STOPPED, KILLED, DISK_LOST, OLD_DISK, LEFT, CLIENTS_RESET -> true;
      default -> false;
    };
  }

  /** False if it can't be: the gateway has another trouble already. */
  private boolean begin(Step step) throws IOException {
    GatewayProcess gateway = rig.gateway(step.who());
    if (disturbs(step)
        && (!gateway.isRunning()
            || active.stream()
                .anyMatch(other -> disturbs(other) && other.who().equals(step.who())))) {
      return false;
    }
    if (disturbs(step)) {
      disturbed.begins(step.who());
    }
    switch (step.kind()) {
      case STOPPED -> gateway.stop();
      case KILLED, DISK_LOST, OLD_DISK -> gateway.kill();
      case LEFT -> gateway.leave();
      case CLIENTS_RESET -> rig.clientDoor(step.who()).reset();
      case ENGINES_RESET -> rig.engineDoors(step.who()).forEach(Door::reset);
      default -> {}
    }
    if (step.kind() == Step.Kind.OLD_DISK) {
      gateway.copyDisk();
      gateway.start();
      rig.awaitHealthy(step.who());
    }
    return true;
  }

  private void end(Step step) throws IOException {
    GatewayProcess gateway = rig.gateway(step.who());
    switch (step.kind()) {
      case STOPPED -> gateway.goOn();
      case KILLED, LEFT -> again(gateway);
      case DISK_LOST -> {
        diskLost.accept(step.who());
        gateway.loseDisk();
        again(gateway);
      }
      case OLD_DISK -> {
        gateway.kill();
        diskLost.accept(step.who());
        gateway.putBackCopy();
        again(gateway);
      }
      default -> {}
    }
    if (disturbs(step)) {
      disturbed.ends(step.who());
    }
  }

  private void again(GatewayProcess gateway) throws IOException {
    gateway.start();
    rig.awaitHealthy(gateway.name());
  }

  Map<Step.Kind, Integer> counts() {
    return counts;
  }
}
