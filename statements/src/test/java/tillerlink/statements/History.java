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

  final TestCluster town;
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
    town = new TestCluster(seed, voterCount, 2 + random.nextInt(3), plants);
    town.leaseLength = 10 * (300 + random.nextInt(1500));
    town.inDoubt = 0.02;
  }

  /** A short one, of a fleet of a stated size. */
  History(long seed, int voters, int others) {
    random = new SplittableRandom(seed * 31 + 7);
    voterCount = voters;
    town = new TestCluster(seed, voters, others);
    town.leaseLength = 10 * (300 + random.nextInt(1000));
    town.inDoubt = 0.02;
  }

  private <T> T any(List<T> of) {
    return of.get(random.nextInt(of.size()));
  }

  private void say(String words) {
    events.add(town.at() + " " + words);
  }

  /**
   * @return what was wrong, or null
   */
  String play(long lasts) {
    if (drift) {
      town.clocksDrift();
    }
    town.startAll();
    if (!town.until(10 * TestCluster.SECOND, () -> !town.leader().equals("none"))) {
      return "no leader at the start";
    }
    for (String name : NAMES) {
      prepare(name);
    }
    town.fleet.playFor(TestCluster.SECOND);
    load();
    long end = town.fleet.now() + lasts;
    while (town.fleet.now() < end) {
      step();
      town.fleet.playFor(10 * random.nextInt(10, 400));
      if (!town.audit.violations.isEmpty()) {
        return town.audit.violations.get(0);
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
      town.clocksDrift();
    }
    town.startAll();
    if (!town.until(10 * TestCluster.SECOND, () -> !town.leader().equals("none"))) {
      return "no leader at the start";
    }
    prepare(NAMES.get(0));
    prepare(NAMES.get(1));
    town.fleet.playFor(TestCluster.SECOND / 2);
    load();
    int before = random.nextInt(3);
    for (int i = 0; i < 3; i++) {
      if (i == 1) {
        announce();
      } else if (before == 2 || i == before * 2) {
        faults++;
        fault();
      }
      town.fleet.playFor(10 * random.nextInt(10, 600));
    }
    return heal();
  }

  private void fault() {
    switch (random.nextInt(8)) {
      case 0 -> pause(any(town.all));
      case 1 -> kill(any(town.all));
      case 2 -> cut(any(town.all), any(town.all));
      case 3 -> partition();
      case 4 -> doubtful();
      case 5 -> pause(town.leader());
      case 6 -> kill(town.leader());
      default -> {
        say("links are bad");
        town.fleet.usual(Fault.bad(0.2, 0.1, 20 + random.nextInt(3000)));
      }
    }
  }

  private void announce() {
    String at = any(town.all);
    say("announce at " + at);
    town.announce(
        at,
        change(),
        outcome -> {
          told(outcome);
          changes.add(outcome.id());
        });
  }

  private boolean loaded = true;

  private void load() {
    town.all.forEach(this::load);
  }

  private void load(String at) {
    if (loaded) {
      town.run(at, any(NAMES));
      town.fleet.at(town.fleet.now() + 10 * random.nextInt(5, 60), () -> load(at));
    }
  }

  private void prepare(String name) {
    int group = 17 + random.nextInt(3);
    String text = "select " + random.nextInt(1000) + " from orders_" + group + ".orders";
    boolean two = random.nextInt(3) == 0;
    String at = any(town.all);
    say("prepare " + name + " at " + at);
    town.prepare(
        at,
        two
            ? TestCluster.definition(name, text, group, group == 17 ? 18 : 17)
            : TestCluster.definition(name, text, group),
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
      case 0 -> TestCluster.removed(group);
      case 1 -> TestCluster.renamed(group, "t" + random.nextInt(100));
      case 2 -> TestCluster.altered(group);
      case 3 -> TestCluster.untouched(group, group == 17 ? 18 : 17);
      default -> TestCluster.untouched(group);
    };
  }

  private void step() {
    switch (random.nextInt(16)) {
      case 0, 1 -> prepare(any(NAMES));
      case 2 -> {
        say("drop");
        town.drop(any(town.all), any(NAMES), this::told);
      }
      case 3, 4, 5 -> announce();
      case 6 -> {
        if (!changes.isEmpty()) {
          say("take back");
          town.takeBack(any(town.all), changes.get(changes.size() - 1), this::told);
        }
      }
      case 7 -> pause(any(town.all));
      case 8 -> kill(any(town.all));
      case 9 -> cut(any(town.all), any(town.all));
      case 10 -> partition();
      case 11 -> {
        say("links heal");
        town.fleet.heal();
        town.fleet.usual(
            random.nextInt(3) == 0 ? Fault.bad(0.2, 0.1, 20 + random.nextInt(3000)) : Fault.NONE);
      }
      case 12 -> {
        String voter = any(town.voters);
        if (town.isUp(voter)) {
          copies.put(voter, town.copyOf(voter));
        }
      }
      case 13 -> doubtful();
      case 14 -> {
        String leader = town.leader();
        if (town.isUp(leader)) {
          say("the leader is hit");
          if (random.nextBoolean()) {
            kill(leader);
          } else {
            pause(leader);
          }
        }
      }
      default -> town.fleet.playFor(10 * random.nextInt(500));
    }
  }

  private void pause(String name) {
    if (town.isUp(name) && !town.isPaused(name)) {
      say("pause " + name);
      town.pause(name);
      town.fleet.at(town.fleet.now() + 10 * random.nextInt(10, 4000), () -> town.resume(name));
    }
  }

  private boolean whole() {
    return doubtful == null
        || town.isUp(doubtful)
            && town.part(doubtful).voter().orElseThrow().isSound()
            && town.fleet.now() > doubtfulUntil;
  }

  /**
   * While a voter comes back from an empty or an old disk, no other voter is killed: that would be
   * two at once.
   */
  private void kill(String name) {
    if (town.isUp(name) && (whole() || !town.voters.contains(name))) {
      say("kill " + name);
      town.kill(name);
      town.fleet.at(
          town.fleet.now() + 10 * random.nextInt(10, 3000),
          () -> {
            if (!town.isUp(name)) {
              say("start " + name);
              town.start(name);
            }
          });
    }
  }

  private void cut(String from, String to) {
    say("cut " + from + " to " + to);
    town.fleet.link(from, to, Fault.CUT);
  }

  private void partition() {
    String one = any(town.all);
    boolean both = random.nextBoolean();
    say("part " + one + (both ? " and another" : ""));
    String two = both ? any(town.all) : one;
    for (String other : town.all) {
      if (!other.equals(one) && !other.equals(two)) {
        town.fleet.between(one, other, Fault.CUT);
        town.fleet.between(two, other, Fault.CUT);
      }
    }
  }

  /**
   * One voter at a time from an empty or an old disk; the next only once it is back and as good as
   * the others.
   */
  private void doubtful() {
    boolean over = whole();
    String name = any(town.voters);
    boolean founded =
        town.voters.stream()
            .allMatch(it -> town.isUp(it) && town.part(it).voter().orElseThrow().isSound());
    if (!olds || !over || !town.isUp(name) || !founded) {
      return;
    }
    doubtful = name;
    doubtfulUntil = town.fleet.now() + TestCluster.SECOND;
    town.kill(name);
    NavigableMap<String, byte[]> copy = copies.get(name);
    if (copy != null && random.nextBoolean()) {
      say("start " + name + " from an old disk");
      town.startOld(name, copy);
    } else {
      say("start " + name + " from an empty disk");
      copies.remove(name);
      town.startEmpty(name);
    }
  }

  private String heal() {
    say("all heals");
    town.fleet.heal();
    town.fleet.usual(Fault.NONE);
    for (String name : town.all) {
      if (!town.isUp(name)) {
        town.start(name);
      }
      town.resume(name);
    }
    boolean agreed = town.until(60 * TestCluster.SECOND, town::agree);
    loaded = false;
    if (!town.audit.violations.isEmpty()) {
      return town.audit.violations.get(0);
    }
    if (!agreed) {
      return "no agreement: leader " + town.leader();
    }
    for (String name : NAMES) {
      boolean ready =
          town.part("g1").catalog().find(name).filter(it -> it.state() == State.READY).isPresent();
      for (String at : town.all) {
        if (ready
            && !town.until(5 * TestCluster.SECOND, () -> town.mayRun(at, name).startsWith("yes"))) {
          return at + " can't run " + name + " in a calm fleet: " + town.mayRun(at, name);
        }
      }
    }
    return town.audit.violations.isEmpty() ? null : town.audit.violations.get(0);
  }
}
