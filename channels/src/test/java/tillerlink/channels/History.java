package tillerlink.channels;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.messages.channels.Kind;
import tillerlink.simulation.Fault;
import tillerlink.simulation.InMemoryKeyValueStore;

/**
 * One seeded history: three to six gateways at three sites, random appends and faults, then the end
 * of all faults and the audit of the fleet.
 */
final class History {
  private static final List<String> CHANNELS = List.of("news", "sport");

  final Fleet fleet;
  final List<String> actions = new ArrayList<>();
  private final Set<String> possiblyLost = new TreeSet<>();
  private final TreeMap<String, Long> recovering = new TreeMap<>();
  private final int stepCount;
  int appendCount;
  int faultCount;

  /** Called after each step; replaced by tests that inject faults. */
  Runnable afterStep = () -> {};

  History(long seed, int stepCount) {
    this(seed, stepCount, fleetOf(seed));
  }

  History(long seed, int stepCount, Fleet fleet) {
    this.fleet = fleet;
    this.stepCount = stepCount;
  }

  static Fleet fleetOf(long seed) {
    List<String> names =
        List.of("n1", "s1", "w1", "n2", "s2", "w2").subList(0, 3 + Math.floorMod(seed, 4));
    return new Fleet(
        seed,
        names,
        new ChannelLogConfig(
            List.of("n1", "s1", "w1"), 50_000, 30_000, 64 << 20, seed % 3 == 0 ? 5 : 40, 8));
  }

  List<String> run() {
    fleet.startAll();
    fleet.net.playFor(Fleet.SECOND);
    for (int i = 0; i < stepCount; i++) {
      step();
      afterStep.run();
      fleet.net.playFor(
          fleet.random.nextInt(20) == 0 ? 80_000 : 200 + fleet.random.nextInt(15_000));
      fleet.readAndCompare(randomGateway());
    }
    endFaults();
    fleet.readAll();
    fleet.net.playFor(90 * Fleet.SECOND);
    fleet.append("s1", "news", Fleet.cue("last", "last"));
    fleet.net.playFor(70 * Fleet.SECOND);
    fleet.audit(possiblyLost);
    return fleet.violations;
  }

  /**
   * Runs three to ten appends with one or two faults among them, then runs without faults until no
   * event is provisional, and audits the fleet.
   *
   * @return the violations found; empty if there were no violations
   */
  List<String> runShort() {
    fleet.startAll();
    fleet.net.playFor(Fleet.SECOND);
    int appends = 3 + fleet.random.nextInt(8);
    int firstFaultAt = fleet.random.nextInt(appends);
    int secondFaultAt = fleet.random.nextInt(2 * appends);
    for (int i = 0; i < appends; i++) {
      if (i == firstFaultAt || i == secondFaultAt) {
        faultCount++;
        injectFault(fleet.random.nextInt(10), randomGateway());
      }
      if (i == firstFaultAt / 2) {
        fleet.names.forEach(name -> fleet.diskCopies.put(name, disk(name).copy()));
      }
      append(randomGateway());
      fleet.net.playFor(200 + fleet.random.nextInt(8_000));
      fleet.readAndCompare(randomGateway());
    }
    endFaults();
    fleet.readAll();
    runUntilSettled(90);
    fleet.append("s1", "news", Fleet.cue("last", "last"));
    runUntilSettled(70);
    fleet.audit(possiblyLost);
    return fleet.violations;
  }

  /**
   * Runs until every gateway has the same stable events, or the time is up; the audit that follows
   * detects gateways that still differ.
   *
   * @param seconds the maximum virtual time in seconds
   */
  private void runUntilSettled(int seconds) {
    for (int i = 0; i < seconds; i++) {
      fleet.net.playFor(Fleet.SECOND);
      if (fleet.isSettled()) {
        return;
      }
    }
  }

  private void injectFault(int draw, String name) {
    switch (draw) {
      case 0, 1 -> {
        recordAction("cut " + name);
        fleet.cut(List.of(name));
      }
      case 2 -> {
        String other = randomGateway();
        recordAction("one-sided " + name + " to " + other);
        fleet.net.link(name, other, Fault.CUT);
      }
      case 3 -> {
        recordAction("bad");
        fleet.net.setDefaultFault(Fault.bad(0.2, 0.1, 5000));
      }
      case 4 -> {
        recordAction("pause " + name);
        fleet.net.pause(name);
        fleet.net.at(fleet.net.now() + fleet.random.nextInt(100_000), () -> fleet.net.resume(name));
      }
      case 5 -> {
        long aheadTenths = (fleet.random.nextInt(241) - 120) * Fleet.SECOND;
        recordAction("clock " + name + " " + aheadTenths / 10);
        fleet.net.setClock(name, aheadTenths);
      }
      case 6 -> restart(name, 35);
      case 7 -> restart(name, 37);
      case 8 -> restart(name, 38);
      default -> restart(name, 39);
    }
  }

  private void endFaults() {
    recordAction("end of faults");
    fleet.net.setDefaultFault(Fault.NONE);
    fleet.net.heal();
    for (String name : fleet.names) {
      fleet.net.setClock(name, 0);
      fleet.net.resume(name);
      disk(name).full(false);
      if (!fleet.running.containsKey(name)) {
        fleet.start(name);
      }
    }
  }

  private String randomGateway() {
    return fleet.names.get(fleet.random.nextInt(fleet.names.size()));
  }

  private InMemoryKeyValueStore disk(String name) {
    return fleet.disks.get(name);
  }

  private void recordAction(String action) {
    actions.add(fleet.net.now() / 10 + " " + action);
  }

  private void step() {
    int draw = fleet.random.nextInt(40);
    String name = randomGateway();
    if (draw < 18) {
      for (int i = fleet.random.nextInt(6); i >= 0; i--) {
        append(randomGateway());
      }
    } else if (draw < 21) {
      List<String> side =
          fleet.shuffled().subList(0, 1 + fleet.random.nextInt(fleet.names.size() / 2));
      recordAction("cut " + side);
      fleet.cut(side);
    } else if (draw < 23) {
      recordAction("one-sided " + name);
      fleet.net.link(name, randomGateway(), Fault.CUT);
    } else if (draw < 26) {
      recordAction("heal");
      fleet.net.heal();
      fleet.net.setDefaultFault(Fault.NONE);
    } else if (draw < 27) {
      recordAction("bad");
      fleet.net.setDefaultFault(Fault.bad(0.2, 0.1, 5000));
    } else if (draw < 30) {
      if (fleet.running.containsKey(name)) {
        recordAction("pause " + name);
        fleet.net.pause(name);
        fleet.net.at(fleet.net.now() + fleet.random.nextInt(100_000), () -> fleet.net.resume(name));
      }
    } else if (draw < 31) {
      long aheadTenths = (fleet.random.nextInt(241) - 120) * Fleet.SECOND;
      recordAction("clock " + name + " " + aheadTenths / 10);
      fleet.net.setClock(name, aheadTenths);
    } else if (draw < 32) {
      recordAction("full " + name);
      disk(name).full(fleet.random.nextBoolean());
    } else if (draw < 34) {
      fleet.diskCopies.put(name, disk(name).copy());
    } else {
      restart(name, draw);
    }
  }

  private void append(String name) {
    int number = ++appendCount;
    int kindDraw = fleet.random.nextInt(8);
    String cue = "c" + fleet.random.nextInt(5);
    String key = fleet.random.nextInt(3) == 0 ? "k" + fleet.random.nextInt(30) : "";
    AppendRequest request =
        kindDraw < 3
            ? new AppendRequest(Kind.CUE, cue, "t" + number, 0, key, null)
            : kindDraw < 5
                ? new AppendRequest(Kind.CORRECTION, cue, "t" + number, 0, key, null)
                : kindDraw < 6
                    ? new AppendRequest(Kind.RETRACTION, cue, "", 0, key, null)
                    : kindDraw < 7
                        ? new AppendRequest(
                            Kind.AIR,
                            cue,
                            "",
                            fleet.net.wall(name) / 10 + fleet.random.nextInt(20_000),
                            key,
                            null)
                        : new AppendRequest(Kind.NOTE, "", "note " + number, 0, key, null);
    fleet.append(name, CHANNELS.get(fleet.random.nextInt(2)), request);
  }

  /**
   * Kills a gateway and, depending on the drawn number, restarts it on its own disk, on an old copy
   * of it or on an empty disk. Until a gateway with a lost or old disk votes again, no other
   * gateway loses its disk or gets an old copy, because the protocol tolerates one such gateway at
   * a time.
   *
   * @param draw below 36: kill without restart; below 38: own disk; below 39: old copy, if there is
   *     one; otherwise empty disk
   */
  private void restart(String name, int draw) {
    recovering
        .keySet()
        .removeIf(
            other -> fleet.running.containsKey(other) && fleet.running.get(other).state().votes());
    if (draw < 36) {
      recordAction("kill " + name);
      fleet.kill(name);
      return;
    }
    boolean mayLoseDisk = recovering.isEmpty() || recovering.containsKey(name);
    fleet.kill(name);
    if (draw < 38 || !mayLoseDisk) {
      recordAction("restart " + name);
      fleet.start(name);
      return;
    }
    recovering.put(name, fleet.net.now());
    recordEventsThatMayBeLost();
    if (draw < 39 && fleet.diskCopies.containsKey(name)) {
      recordAction("old copy " + name);
      fleet.start(name, InMemoryKeyValueStore.of(fleet.net, 5, fleet.diskCopies.get(name)));
    } else {
      recordAction("lost disk " + name);
      fleet.start(name, new InMemoryKeyValueStore(fleet.net, 5));
    }
  }

  /**
   * Records the events that are missing from all running gateways, because only the disk that is
   * being lost has them and they may be lost with it.
   */
  private void recordEventsThatMayBeLost() {
    Set<String> elsewhere = new TreeSet<>();
    fleet.running.forEach(
        (name, channels) -> {
          for (String channel : channels.names()) {
            channels
                .read(channel, 0, Fleet.ALL)
                .lines()
                .forEach(line -> elsewhere.add(line.entry().dot().text()));
          }
        });
    for (String id : fleet.appended.keySet()) {
      if (!elsewhere.contains(id)) {
        possiblyLost.add(id);
      }
    }
  }
}
