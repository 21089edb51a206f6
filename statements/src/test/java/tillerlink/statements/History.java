package tillerlink.statements;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SplittableRandom;
import tillerlink.messages.statements.Change;
import tillerlink.simulation.Fault;
import tillerlink.statements.catalog.State;
import tillerlink.statements.testing.InjectedFault;

/**
 * One seeded history: load, changes and faults at random, then everything heals and all gateways
 * must agree.
 */
final class History {
  static final List<String> NAMES = List.of("a", "b", "c", "d");

  final ClusterFixture cluster;
  final List<String> events = new ArrayList<>();
  private final SplittableRandom random;
  private final Map<String, NavigableMap<String, byte[]>> copies = new HashMap<>();
  private final List<Long> changes = new ArrayList<>();
  private final int voterCount;

  /** A voter whose disk was lost or is an old copy: one at a time. */
  private String doubtful;

  private long doubtfulUntil;
  boolean olds = true;
  boolean drift = true;
  int faults;
  int done;
  int refused;
  int unknown;

  History(long seed, InjectedFault... plants) {
    random = new SplittableRandom(seed * 31 + 7);
    voterCount = random.nextInt(4) == 0 ? 5 : 3;
    cluster = new ClusterFixture(seed, voterCount, 2 + random.nextInt(3), plants);
    cluster.leaseLength = 10 * (300 + random.nextInt(1500));
    cluster.inDoubt = 0.02;
  }

  /** A short one, of a fleet of a stated size. */
  History(long seed, int voters, int others) {
    random = new SplittableRandom(seed * 31 + 7);
    voterCount = voters;
    cluster = new ClusterFixture(seed, voters, others);
    cluster.leaseLength = 10 * (300 + random.nextInt(1000));
    cluster.inDoubt = 0.02;
  }

  private <T> T any(List<T> of) {
    return of.get(random.nextInt(of.size()));
  }

  private void say(String words) {
    events.add(cluster.at() + " " + words);
  }

  /**
   * @return what was wrong, or null
   */
  String play(long lasts) {
    if (drift) {
      cluster.clocksDrift();
    }
    cluster.startAll();
    if (!cluster.until(10 * ClusterFixture.SECOND, () -> !cluster.leader().equals("none"))) {
      return "no leader at the start";
    }
    for (String name : NAMES) {
      prepare(name);
    }
    cluster.fleet.playFor(ClusterFixture.SECOND);
    load();
    long end = cluster.fleet.now() + lasts;
    while (cluster.fleet.now() < end) {
      step();
      cluster.fleet.playFor(10 * random.nextInt(10, 400));
      if (!cluster.audit.violations.isEmpty()) {
        return cluster.audit.violations.get(0);
      }
    }
    return heal();
  }

  /**
   * One or two statements, runs all along, one change, one or two faults before or after it; then
   * the usual end.
   */
  String playShortly() {
    if (drift) {
      cluster.clocksDrift();
    }
    cluster.startAll();
    if (!cluster.until(10 * ClusterFixture.SECOND, () -> !cluster.leader().equals("none"))) {
      return "no leader at the start";
    }
    prepare(NAMES.get(0));
    prepare(NAMES.get(1));
    cluster.fleet.playFor(ClusterFixture.SECOND / 2);
    load();
    int before = random.nextInt(3);
    for (int i = 0; i < 3; i++) {
      if (i == 1) {
        announce();
      } else if (before == 2 || i == before * 2) {
        faults++;
        fault();
      }
      cluster.fleet.playFor(10 * random.nextInt(10, 600));
    }
    return heal();
  }

  private void fault() {
    switch (random.nextInt(8)) {
      case 0 -> pause(any(cluster.all));
      case 1 -> kill(any(cluster.all));
      case 2 -> cut(any(cluster.all), any(cluster.all));
      case 3 -> partition();
      case 4 -> doubtful();
      case 5 -> pause(cluster.leader());
      case 6 -> kill(cluster.leader());
      default -> {
        say("links are bad");
        cluster.fleet.setDefaultFault(Fault.bad(0.2, 0.1, 20 + random.nextInt(3000)));
      }
    }
  }

  private void announce() {
    String at = any(cluster.all);
    say("announce at " + at);
    cluster.announce(
        at,
        change(),
        outcome -> {
          told(outcome);
          changes.add(outcome.id());
        });
  }

  private boolean loaded = true;

  private void load() {
    cluster.all.forEach(this::load);
  }

  private void load(String at) {
    if (loaded) {
      cluster.run(at, any(NAMES));
      cluster.fleet.at(cluster.fleet.now() + 10 * random.nextInt(5, 60), () -> load(at));
    }
  }

  private void prepare(String name) {
    int group = 17 + random.nextInt(3);
    String text = "select " + random.nextInt(1000) + " from orders_" + group + ".orders";
    boolean two = random.nextInt(3) == 0;
    String at = any(cluster.all);
    say("prepare " + name + " at " + at);
    cluster.prepare(
        at,
        two
            ? ClusterFixture.definition(name, text, group, group == 17 ? 18 : 17)
            : ClusterFixture.definition(name, text, group),
        this::told);
  }

  private void told(tillerlink.statements.catalog.Outcome outcome) {
    switch (outcome.verdict()) {
      case DONE -> done++;
      case REFUSED -> refused++;
      default -> unknown++;
    }
  }

  private Change change() {
    int group = 17 + random.nextInt(3);
    return switch (random.nextInt(6)) {
      case 0 -> ClusterFixture.removed(group);
      case 1 -> ClusterFixture.renamed(group, "t" + random.nextInt(100));
      case 2 -> ClusterFixture.altered(group);
      case 3 -> ClusterFixture.untouched(group, group == 17 ? 18 : 17);
      default -> ClusterFixture.untouched(group);
    };
  }

  private void step() {
    switch (random.nextInt(16)) {
      case 0, 1 -> prepare(any(NAMES));
      case 2 -> {
        say("drop");
        cluster.drop(any(cluster.all), any(NAMES), this::told);
      }
      case 3, 4, 5 -> announce();
      case 6 -> {
        if (!changes.isEmpty()) {
          say("take back");
          cluster.takeBack(any(cluster.all), changes.get(changes.size() - 1), this::told);
        }
      }
      case 7 -> pause(any(cluster.all));
      case 8 -> kill(any(cluster.all));
      case 9 -> cut(any(cluster.all), any(cluster.all));
      case 10 -> partition();
      case 11 -> {
        say("links heal");
        cluster.fleet.heal();
        cluster.fleet.setDefaultFault(
            random.nextInt(3) == 0 ? Fault.bad(0.2, 0.1, 20 + random.nextInt(3000)) : Fault.NONE);
      }
      case 12 -> {
        String voter = any(cluster.voters);
        if (cluster.isUp(voter)) {
          copies.put(voter, cluster.copyOf(voter));
        }
      }
      case 13 -> doubtful();
      case 14 -> {
        String leader = cluster.leader();
        if (cluster.isUp(leader)) {
          say("the leader is hit");
          if (random.nextBoolean()) {
            kill(leader);
          } else {
            pause(leader);
          }
        }
      }
      default -> cluster.fleet.playFor(10 * random.nextInt(500));
    }
  }

  private void pause(String name) {
    if (cluster.isUp(name) && !cluster.isPaused(name)) {
      say("pause " + name);
      cluster.pause(name);
      cluster.fleet.at(
          cluster.fleet.now() + 10 * random.nextInt(10, 4000), () -> cluster.resume(name));
    }
  }

  private boolean whole() {
    return doubtful == null
        || cluster.isUp(doubtful)
            && cluster.part(doubtful).voter().orElseThrow().isOperational()
            && cluster.fleet.now() > doubtfulUntil;
  }

  /**
   * While a voter comes back from an empty or an old disk, no other voter is killed: that would be
   * two at once.
   */
  private void kill(String name) {
    if (cluster.isUp(name) && (whole() || !cluster.voters.contains(name))) {
      say("kill " + name);
      cluster.kill(name);
      cluster.fleet.at(
          cluster.fleet.now() + 10 * random.nextInt(10, 3000),
          () -> {
            if (!cluster.isUp(name)) {
              say("start " + name);
              cluster.start(name);
            }
          });
    }
  }

  private void cut(String from, String to) {
    say("cut " + from + " to " + to);
    cluster.fleet.link(from, to, Fault.CUT);
  }

  private void partition() {
    String one = any(cluster.all);
    boolean both = random.nextBoolean();
    say("part " + one + (both ? " and another" : ""));
    String two = both ? any(cluster.all) : one;
    for (String other : cluster.all) {
      if (!other.equals(one) && !other.equals(two)) {
        cluster.fleet.between(one, other, Fault.CUT);
        cluster.fleet.between(two, other, Fault.CUT);
      }
    }
  }

  /**
   * One voter at a time from an empty or an old disk; the next only once it is back and as good as
   * the others.
   */
  private void doubtful() {
    boolean over = whole();
    String name = any(cluster.voters);
    boolean founded =
        cluster.voters.stream()
            .allMatch(
                it -> cluster.isUp(it) && cluster.part(it).voter().orElseThrow().isOperational());
    if (!olds || !over || !cluster.isUp(name) || !founded) {
      return;
    }
    doubtful = name;
    doubtfulUntil = cluster.fleet.now() + ClusterFixture.SECOND;
    cluster.kill(name);
    NavigableMap<String, byte[]> copy = copies.get(name);
    if (copy != null && random.nextBoolean()) {
      say("start " + name + " from an old disk");
      cluster.startOld(name, copy);
    } else {
      say("start " + name + " from an empty disk");
      copies.remove(name);
      cluster.startEmpty(name);
    }
  }

  private String heal() {
    say("all heals");
    cluster.fleet.heal();
    cluster.fleet.setDefaultFault(Fault.NONE);
    for (String name : cluster.all) {
      if (!cluster.isUp(name)) {
        cluster.start(name);
      }
      cluster.resume(name);
    }
    boolean agreed = cluster.until(60 * ClusterFixture.SECOND, cluster::agree);
    loaded = false;
    if (!cluster.audit.violations.isEmpty()) {
      return cluster.audit.violations.get(0);
    }
    if (!agreed) {
      return "no agreement: leader " + cluster.leader();
    }
    for (String name : NAMES) {
      boolean ready =
          cluster
              .part("g1")
              .catalog()
              .find(name)
              .filter(it -> it.state() == State.READY)
              .isPresent();
      for (String at : cluster.all) {
        if (ready
            && !cluster.until(
                5 * ClusterFixture.SECOND, () -> cluster.mayRun(at, name).startsWith("yes"))) {
          return at + " can't run " + name + " in a calm fleet: " + cluster.mayRun(at, name);
        }
      }
    }
    return cluster.audit.violations.isEmpty() ? null : cluster.audit.violations.get(0);
  }
}
