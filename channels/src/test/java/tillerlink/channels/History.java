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
 * One seeded history: three sites with three to six gateways, load and faults, then healing and the
 * audit.
 */
final class History {
  private static final List<String> CHANNELS = List.of("news", "sport");

  final Fleet fleet;
  final List<String> played = new ArrayList<>();
  private final Set<String> mayBeLost = new TreeSet<>();
  private final TreeMap<String, Long> recovering = new TreeMap<>();
  private final int steps;
  int appended;
  int faults;

  /** Called after each step: where tests plant faults. */
  Runnable each = () -> {};

  History(long seed, int steps) {
    this(seed, steps, fleetOf(seed));
  }

  History(long seed, int steps, Fleet fleet) {
    this.fleet = fleet;
    this.steps = steps;
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

  List<String> play() {
    fleet.startAll();
    fleet.net.playFor(Fleet.SECOND);
    for (int i = 0; i < steps; i++) {
      step();
      each.run();
      fleet.net.playFor(
          fleet.random.nextInt(20) == 0 ? 80_000 : 200 + fleet.random.nextInt(15_000));
      fleet.look(one());
    }
    heal();
    fleet.lookAll();
    fleet.net.playFor(90 * Fleet.SECOND);
    fleet.append("s1", "news", Fleet.cue("last", "last"));
    fleet.net.playFor(70 * Fleet.SECOND);
    fleet.audit(mayBeLost);
    return fleet.violations;
  }

  /**
   * A few appends with one or two faults among them, then calm until nothing is provisional, and
   * the same audit.
   */
  List<String> playShortly() {
    fleet.startAll();
    fleet.net.playFor(Fleet.SECOND);
    int appends = 3 + fleet.random.nextInt(8);
    int first = fleet.random.nextInt(appends);
    int second = fleet.random.nextInt(2 * appends);
    for (int i = 0; i < appends; i++) {
      if (i == first || i == second) {
        faults++;
        fault(fleet.random.nextInt(10), one());
      }
      if (i == first / 2) {
        fleet.names.forEach(name -> fleet.copies.put(name, disk(name).copy()));
      }
      append(one());
      fleet.net.playFor(200 + fleet.random.nextInt(8_000));
      fleet.look(one());
    }
    heal();
    fleet.lookAll();
    calm(90);
    fleet.append("s1", "news", Fleet.cue("last", "last"));
    calm(70);
    fleet.audit(mayBeLost);
    return fleet.violations;
  }

  /** Plays on for so many seconds at the most; the audit that follows says whether all agree. */
  private void calm(int seconds) {
    for (int i = 0; i < seconds; i++) {
      fleet.net.playFor(Fleet.SECOND);
      if (fleet.isSettled()) {
        return;
      }
    }
  }

  private void fault(int die, String name) {
    switch (die) {
      case 0, 1 -> {
        say("cut " + name);
        fleet.cut(List.of(name));
      }
      case 2 -> {
        String other = one();
        say("one-sided " + name + " to " + other);
        fleet.net.link(name, other, Fault.CUT);
      }
      case 3 -> {
        say("bad");
        fleet.net.setDefaultFault(Fault.bad(0.2, 0.1, 5000));
      }
      case 4 -> {
        say("pause " + name);
        fleet.net.pause(name);
        fleet.net.at(fleet.net.now() + fleet.random.nextInt(100_000), () -> fleet.net.resume(name));
      }
      case 5 -> {
        long ahead = (fleet.random.nextInt(241) - 120) * Fleet.SECOND;
        say("clock " + name + " " + ahead / 10);
        fleet.net.setClock(name, ahead);
      }
      case 6 -> restart(name, 35);
      case 7 -> restart(name, 37);
      case 8 -> restart(name, 38);
      default -> restart(name, 39);
    }
  }

  private void heal() {
    say("calm");
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

  private String one() {
    return fleet.names.get(fleet.random.nextInt(fleet.names.size()));
  }

  private InMemoryKeyValueStore disk(String name) {
    return fleet.disks.get(name);
  }

  private void say(String what) {
    played.add(fleet.net.now() / 10 + " " + what);
  }

  private void step() {
    int die = fleet.random.nextInt(40);
    String name = one();
    if (die < 18) {
      for (int i = fleet.random.nextInt(6); i >= 0; i--) {
        append(one());
      }
    } else if (die < 21) {
      List<String> side =
          fleet.shuffled().subList(0, 1 + fleet.random.nextInt(fleet.names.size() / 2));
      say("cut " + side);
      fleet.cut(side);
    } else if (die < 23) {
      say("one-sided " + name);
      fleet.net.link(name, one(), Fault.CUT);
    } else if (die < 26) {
      say("heal");
      fleet.net.heal();
      fleet.net.setDefaultFault(Fault.NONE);
    } else if (die < 27) {
      say("bad");
      fleet.net.setDefaultFault(Fault.bad(0.2, 0.1, 5000));
    } else if (die < 30) {
      if (fleet.running.containsKey(name)) {
        say("pause " + name);
        fleet.net.pause(name);
        fleet.net.at(fleet.net.now() + fleet.random.nextInt(100_000), () -> fleet.net.resume(name));
      }
    } else if (die < 31) {
      long ahead = (fleet.random.nextInt(241) - 120) * Fleet.SECOND;
      say("clock " + name + " " + ahead / 10);
      fleet.net.setClock(name, ahead);
    } else if (die < 32) {
      say("full " + name);
      disk(name).full(fleet.random.nextBoolean());
    } else if (die < 34) {
      fleet.copies.put(name, disk(name).copy());
    } else {
      restart(name, die);
    }
  }

  private void append(String name) {
    int n = ++appended;
    int what = fleet.random.nextInt(8);
    String cue = "c" + fleet.random.nextInt(5);
    String key = fleet.random.nextInt(3) == 0 ? "k" + fleet.random.nextInt(30) : "";
    AppendRequest draft =
        what < 3
            ? new AppendRequest(Kind.CUE, cue, "t" + n, 0, key, null)
            : what < 5
                ? new AppendRequest(Kind.CORRECTION, cue, "t" + n, 0, key, null)
                : what < 6
                    ? new AppendRequest(Kind.RETRACTION, cue, "", 0, key, null)
                    : what < 7
                        ? new AppendRequest(
                            Kind.AIR,
                            cue,
                            "",
                            fleet.net.wall(name) / 10 + fleet.random.nextInt(20_000),
                            key,
                            null)
                        : new AppendRequest(Kind.NOTE, "", "note " + n, 0, key, null);
    fleet.append(name, CHANNELS.get(fleet.random.nextInt(2)), draft);
  }

  /** Of the disks of those counted in, one at a time is lost or old, as is promised to be borne. */
  private void restart(String name, int die) {
    recovering
        .keySet()
        .removeIf(
            other -> fleet.running.containsKey(other) && fleet.running.get(other).state().votes());
    if (die < 36) {
      say("kill " + name);
      fleet.kill(name);
      return;
    }
    boolean mayLose = recovering.isEmpty() || recovering.containsKey(name);
    fleet.kill(name);
    if (die < 38 || !mayLose) {
      say("restart " + name);
      fleet.start(name);
      return;
    }
    recovering.put(name, fleet.net.now());
    noteWhatMayBeLost();
    if (die < 39 && fleet.copies.containsKey(name)) {
      say("old copy " + name);
      fleet.start(name, InMemoryKeyValueStore.of(fleet.net, 5, fleet.copies.get(name)));
    } else {
      say("lost disk " + name);
      fleet.start(name, new InMemoryKeyValueStore(fleet.net, 5));
    }
  }

  /** What only the disk that is lost now holds can't come back. */
  private void noteWhatMayBeLost() {
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
    for (String id : fleet.answered.keySet()) {
      if (!elsewhere.contains(id)) {
        mayBeLost.add(id);
      }
    }
  }
}
