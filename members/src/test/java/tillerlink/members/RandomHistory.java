package tillerlink.members;

import java.util.List;
import java.util.Random;
import tillerlink.members.config.MembershipConfig;
import tillerlink.simulation.Fault;

/** A history of a simulated fleet. The size of the fleet and its faults are drawn from a seed. */
final class RandomHistory {
  private static final int MAX_SMALL_MESSAGE_BYTES = 320;

  final MemberFleet fleet;
  private final Random random;
  private final int size;
  private final StringBuilder trace = new StringBuilder();
  private int faults;

  RandomHistory(long seed, MembershipConfig config) {
    this(seed, config, new ComponentFactories());
  }

  RandomHistory(long seed, MembershipConfig config, ComponentFactories factories) {
    this(seed, config, factories, 0);
  }

  /**
   * Creates a history and starts its fleet.
   *
   * @param fixedSize the number of members; 0 to draw the number at random
   */
  RandomHistory(long seed, MembershipConfig config, ComponentFactories factories, int fixedSize) {
    fleet = new MemberFleet(seed, config, factories);
    random = new Random(seed * 31 + 7);
    size = fixedSize > 0 ? fixedSize : 2 + random.nextInt(6);
    for (int i = 0; i < size; i++) {
      fleet.start("m" + i, seeds());
    }
  }

  /** Returns the events so far, one line each. */
  String trace() {
    return trace.toString();
  }

  /** Returns the number of faults of a short run. */
  int faults() {
    return faults;
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

  /** Runs one to three faults within a few seconds, and then ends all faults. */
  void runShort() {
    fleet.network.playFor(random.nextInt(30_000));
    for (int i = random.nextInt(3); i >= 0; i--) {
      faults++;
      injectFault();
      fleet.network.playFor(random.nextInt(40_000));
    }
    endFaults();
  }

  /** Runs up to a dozen faults, some of them far apart, and then ends all faults. */
  void run() {
    for (int i = 0; i < 4 + random.nextInt(8); i++) {
      fleet.network.playFor(
          random.nextInt(6) == 0 ? random.nextInt(300_000) : random.nextInt(30_000));
      injectFault();
    }
    fleet.network.playFor(random.nextInt(100_000));
    endFaults();
  }

  /**
   * Ends all faults: links become healthy, paused processes resume, and processes that are leaving
   * are ended.
   */
  private void endFaults() {
    log("all faults end");
    fleet.network.heal();
    fleet.network.setDefaultFault(Fault.NONE);
    for (MemberFleet.MemberProcess process : List.copyOf(fleet.running.values())) {
      fleet.network.resume(process.address);
      if (process.isLeaving()) {
        fleet.running.remove(process.address);
        fleet.network.kill(process.address);
      }
    }
    // The first members are the seeds. Without a running seed, a process at another address cannot
    // be found.
    for (int i = 0; i < Math.min(size, 2); i++) {
      String name = "m" + i;
      if (!fleet.running.containsKey(MemberFleet.address(name))) {
        start(name, persistedIncarnation(name));
      }
    }
  }

  // ---- faults ----

  private void injectFault() {
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
      case 10 -> leaveOrStartDuplicate(one);
      default -> injectClockOrLinkFault(one, other);
    }
  }

  private void injectClockOrLinkFault(String one, String other) {
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
        log("all links are healthy");
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
    log("all links lose " + loss + ", delayed by up to " + maxDelay / 10 + " ms");
    fleet.network.setDefaultFault(Fault.bad(loss, random.nextInt(3) / 10.0, maxDelay));
  }

  private void partition() {
    int sides = random.nextInt(1 << size);
    log("partition " + Integer.toBinaryString(sides));
    for (int i = 0; i < size; i++) {
      for (int j = 0; j < size; j++) {
        boolean separated = (sides >> i & 1) != (sides >> j & 1);
        fleet.network.link(
            MemberFleet.address("m" + i),
            MemberFleet.address("m" + j),
            separated ? Fault.CUT : null);
      }
    }
  }

  private void leaveOrStartDuplicate(String name) {
    if (random.nextBoolean() && fleet.running.containsKey(MemberFleet.address(name))) {
      log("leave " + name);
      fleet.leave(name);
    } else {
      log("start a second process with the name " + name);
      fleet.start(name, MemberFleet.address("twin-" + name), random.nextInt(3), seeds());
    }
  }

  // ---- reports ----

  /** Returns how the members see each other, for the message of a failure. */
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

  /** Returns all notices and the last 40 changes, for the message of a failure. */
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
