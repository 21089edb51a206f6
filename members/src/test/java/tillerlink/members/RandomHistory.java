package tillerlink.members;

import java.util.List;
import java.util.Random;
import tillerlink.members.config.MembershipConfig;
import tillerlink.simulation.Fault;

/** A history of a fleet: its size and the faults that befall it are drawn from a seed. */
final class RandomHistory {
  private static final int MAX_SMALL_MESSAGE_BYTES = 320;

  final MemberFleet fleet;
  private final Random random;
  private final int size;
  private final StringBuilder trace = new StringBuilder();
  private int steps;

  RandomHistory(long seed, MembershipConfig config) {
    this(seed, config, new ComponentFactories());
  }

  RandomHistory(long seed, MembershipConfig config, ComponentFactories factories) {
    this(seed, config, factories, 0);
  }

  /**
   * A history whose fleet is started, but nothing else.
   *
   * @param fixedSize how many members; 0 if that is drawn, too
   */
  RandomHistory(long seed, MembershipConfig config, ComponentFactories factories, int fixedSize) {
    fleet = new MemberFleet(seed, config, factories);
    random = new Random(seed * 31 + 7);
    size = fixedSize > 0 ? fixedSize : 2 + random.nextInt(6);
    for (int i = 0; i < size; i++) {
      fleet.start("m" + i, seeds());
    }
  }

  /** What befell the fleet so far, one line each. */
  String trace() {
    return trace.toString();
  }

  /** How many faults were drawn. */
  int steps() {
    return steps;
  }

  private String[] seeds() {
    String first = MemberFleet.address("m0");
    String second = MemberFleet.address("m1");
    return size < 4
        ? new String[] {first, second}
        : new String[] {first, second, MemberFleet.address("m3")};
  }

  private String drawMember() {
    return "m" + random.nextInt(size);
  }

  private void log(String event) {
    trace.append(fleet.time()).append(event).append('\n');
  }

  // ---- runs ----

  /** One to three faults within a few seconds, then calm. */
  void runShortly() {
    fleet.network.playFor(random.nextInt(30_000));
    for (int i = random.nextInt(3); i >= 0; i--) {
      steps++;
      step();
      fleet.network.playFor(random.nextInt(40_000));
    }
    calmDown();
  }

  /** Up to a dozen faults, some of them far apart, then calm. */
  void run() {
    for (int i = 0; i < 4 + random.nextInt(8); i++) {
      fleet.network.playFor(
          random.nextInt(6) == 0 ? random.nextInt(300_000) : random.nextInt(30_000));
      step();
    }
    fleet.network.playFor(random.nextInt(100_000));
    calmDown();
  }

  /** Ends all faults: links are healthy, paused processes resume, leaving ones end. */
  private void calmDown() {
    log("calm");
    fleet.network.heal();
    fleet.network.setDefaultFault(Fault.NONE);
    for (MemberFleet.MemberProcess process : List.copyOf(fleet.running.values())) {
      fleet.network.resume(process.address);
      if (process.isLeaving()) {
        fleet.running.remove(process.address);
        fleet.network.kill(process.address);
      }
    }
    // Without any seed a process at another address can't be found.
    for (int i = 0; i < Math.min(size, 2); i++) {
      String name = "m" + i;
      if (!fleet.running.containsKey(MemberFleet.address(name))) {
        start(name, persistedIncarnation(name));
      }
    }
  }

  // ---- faults ----

  private void step() {
    String one = drawMember();
    String other = drawMember();
    switch (random.nextInt(12)) {
      case 0 -> kill(one);
      case 1, 2 -> start(one, persistedIncarnation(one));
      case 3 -> start(one, random.nextInt(3));
      case 4 -> pause(one);
      case 5 -> resume(one);
      case 6 -> link(one, other, Fault.CUT, "cut");
      case 7 -> cutBetween(one, other);
      case 8 -> degradeAllLinks();
      case 9 -> partition();
      case 10 -> leaveOrStartTwin(one);
      default -> stepOfClockOrLink(one, other);
    }
  }

  private void stepOfClockOrLink(String one, String other) {
    switch (random.nextInt(4)) {
      case 0 -> {
        log("clock of " + one + " jumps");
        fleet.network.setClock(MemberFleet.address(one), random.nextInt(2_000_000) - 1_000_000);
      }
      case 1 -> {
        link(one, other, Fault.small(MAX_SMALL_MESSAGE_BYTES), "small messages only");
        link(other, one, Fault.small(MAX_SMALL_MESSAGE_BYTES), "small messages only");
      }
      case 2 -> link(one, other, Fault.slow(5000, 20_000), "slow");
      default -> {
        log("all links are as usual");
        fleet.network.heal();
        fleet.network.setDefaultFault(Fault.NONE);
      }
    }
  }

  private long persistedIncarnation(String name) {
    return fleet.persistedIncarnations.getOrDefault(name, 0L);
  }

  private void kill(String name) {
    log("kill " + name);
    fleet.kill(name);
  }

  private void start(String name, long incarnation) {
    log("start " + name + " after incarnation " + incarnation);
    fleet.start(name, MemberFleet.address(name), incarnation, seeds());
  }

  private void pause(String name) {
    log("pause " + name);
    fleet.network.pause(MemberFleet.address(name));
  }

  private void resume(String name) {
    log("resume " + name);
    fleet.network.resume(MemberFleet.address(name));
  }

  private void link(String one, String other, Fault fault, String description) {
    log(description + " " + one + " to " + other);
    fleet.network.link(MemberFleet.address(one), MemberFleet.address(other), fault);
  }

  private void cutBetween(String one, String other) {
    log("cut between " + one + " and " + other);
    fleet.network.between(MemberFleet.address(one), MemberFleet.address(other), Fault.CUT);
  }

  private void degradeAllLinks() {
    double loss = random.nextInt(4) / 10.0;
    long maxDelay = random.nextBoolean() ? 10 : 10 + random.nextInt(30_000);
    log("all links lose " + loss + ", late by up to " + maxDelay / 10 + " ms");
    fleet.network.setDefaultFault(Fault.bad(loss, random.nextInt(3) / 10.0, maxDelay));
  }

  private void partition() {
    int sides = random.nextInt(1 << size);
    log("partition " + Integer.toBinaryString(sides));
    for (int i = 0; i < size; i++) {
      for (int j = 0; j < size; j++) {
        boolean apart = (sides >> i & 1) != (sides >> j & 1);
        fleet.network.link(
            MemberFleet.address("m" + i), MemberFleet.address("m" + j), apart ? Fault.CUT : null);
      }
    }
  }

  private void leaveOrStartTwin(String name) {
    if (random.nextBoolean() && fleet.running.containsKey(MemberFleet.address(name))) {
      log("leave " + name);
      fleet.leave(name);
    } else {
      log("another " + name);
      fleet.start(name, MemberFleet.address("twin-" + name), random.nextInt(3), seeds());
    }
  }

  // ---- reports ----

  /** What the members see of each other, for a failure's message. */
  String views() {
    StringBuilder out = new StringBuilder();
    for (MemberFleet.MemberProcess process : fleet.running.values()) {
      Members members = process.members;
      out.append('\n')
          .append(process.address)
          .append(members.yielded() ? " yielded" : "")
          .append(" incarnation ")
          .append(members.incarnation(process.name))
          .append(':');
      for (String name : members.names()) {
        out.append(' ')
            .append(name)
            .append('=')
            .append(members.reachability(name))
            .append('@')
            .append(members.incarnation(name));
      }
    }
    return out.toString();
  }

  /** The notices and the last changes, for a failure's message. */
  String lastEvents() {
    StringBuilder out = new StringBuilder();
    fleet.notices.forEach(line -> out.append(line).append('\n'));
    fleet
        .changes
        .subList(Math.max(0, fleet.changes.size() - 40), fleet.changes.size())
        .forEach(change -> out.append(change).append('\n'));
    return out.toString();
  }
}
