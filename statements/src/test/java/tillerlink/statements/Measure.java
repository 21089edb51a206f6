package tillerlink.statements;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import tillerlink.simulation.Fault;
import tillerlink.statements.run.Permission;
import tillerlink.statements.run.Prepared;

/** Prints the tables of docs/statements-design.md: not part of any test. */
final class Measure {
  private static final int TIMES = 100;

  private Measure() {}

  public static void main(String[] args) {
    change("calm", town -> {});
    change(
        "runs at all gateways, hops of 2 to 42 ms",
        town -> {
          town.all.forEach(name -> load(town, name));
          town.fleet.playFor(2 * TestCluster.SECOND);
        });
    change(
        "the same, one in 1,000 hops in doubt",
        town -> {
          town.inDoubt = 0.001;
          town.all.forEach(name -> load(town, name));
          town.fleet.playFor(2 * TestCluster.SECOND);
        });
    change(
        "a hop that goes on for 500 ms",
        town -> {
          town.worksFor = 500 * TestCluster.MS;
          town.run("g2", "top");
          town.fleet.playFor(10 * TestCluster.MS);
        });
    change(
        "a hop in doubt",
        town -> {
          town.inDoubt = 1;
          town.run("g2", "top");
          town.fleet.playFor(50 * TestCluster.MS);
        });
    change("a gateway killed", town -> town.kill("g2"));
    change("a gateway paused", town -> town.pause("g2"));
    change(
        "a gateway cut off",
        town ->
            town.all.stream()
                .filter(other -> !other.equals("g2"))
                .forEach(other -> town.fleet.between("g2", other, Fault.CUT)));
    change(
        "a voter killed",
        town ->
            town.kill(
                town.voters.stream()
                    .filter(v -> !v.equals(town.leader()))
                    .findFirst()
                    .orElseThrow()));
    change("the leader killed", town -> town.kill(town.leader()));
    change("links of 40 ms", town -> town.fleet.usual(Fault.slow(400, 420)));
    change("20% of messages lost", town -> town.fleet.usual(Fault.lossy(0.2)));
    cost();
  }

  private static void load(TestCluster town, String at) {
    town.run(at, "top");
    town.fleet.at(town.fleet.now() + 10 * TestCluster.MS, () -> load(town, at));
  }

  private static void change(String words, Consumer<TestCluster> trouble) {
    List<Long> effects = new ArrayList<>();
    List<Long> gaps = new ArrayList<>();
    for (int seed = 1; seed <= TIMES; seed++) {
      TestCluster town = new TestCluster(seed, 3, 4);
      town.leaseLength = 3 * TestCluster.SECOND;
      town.startAll();
      town.until(20 * TestCluster.SECOND, () -> !town.leader().equals("none"));
      town.prepare(
          "g1", TestCluster.definition("top", "select 1 from orders_17.orders", 17), any -> {});
      for (String name : town.all) {
        town.until(5 * TestCluster.SECOND, () -> town.mayRun(name, "top").startsWith("yes"));
      }
      town.fleet.playFor(5 * TestCluster.SECOND + seed * 7);
      trouble.accept(town);
      long from = town.fleet.now();
      town.announce("g1", TestCluster.untouched(17), any -> {});
      town.until(
          60 * TestCluster.SECOND,
          () ->
              town.part("g3").catalog().version(17) == 2
                  || !town.mayRun("g3", "top").startsWith("yes"));
      long lost = town.fleet.now();
      town.until(60 * TestCluster.SECOND, () -> town.part("g1").catalog().version(17) == 2);
      effects.add(town.fleet.now() - from);
      town.until(60 * TestCluster.SECOND, () -> town.mayRun("g3", "top").startsWith("yes"));
      gaps.add(town.fleet.now() - lost);
    }
    System.out.println(
        "| "
            + words
            + " | "
            + part(effects, 0.5)
            + " | "
            + part(effects, 0.99)
            + " | "
            + part(gaps, 0.5)
            + " | "
            + part(gaps, 0.99)
            + " |");
  }

  private static String part(List<Long> of, double share) {
    long[] sorted = of.stream().mapToLong(i -> i).sorted().toArray();
    return String.format(
        "%,d ms",
        Arrays.stream(sorted).skip((long) (share * (sorted.length - 1))).findFirst().orElseThrow()
            / 10);
  }

  private static void cost() {
    TestCluster town = new TestCluster(1, 3, 1);
    town.leaseLength = 1000 * TestCluster.SECOND;
    town.startAll();
    town.until(20 * TestCluster.SECOND, () -> !town.leader().equals("none"));
    town.prepare(
        "g1", TestCluster.definition("top", "select * from orders_17.orders", 17, 18), any -> {});
    town.until(5 * TestCluster.SECOND, () -> town.mayRun("g1", "top").startsWith("yes"));
    Statements part = town.part("g1");
    long now = town.fleet.now();
    for (int round = 0; round < 6; round++) {
      long sum = 0;
      long begin = System.nanoTime();
      int times = 300_000;
      for (int i = 0; i < times; i++) {
        Prepared prepared = part.lookUp("top").orElseThrow();
        sum += part.mayRun(now, prepared) instanceof Permission.Yes ? 1 : 0;
        sum += prepared.text(List.of("Paris"), true).length();
      }
      long middle = System.nanoTime();
      Prepared prepared = part.lookUp("top").orElseThrow();
      for (int i = 0; i < times; i++) {
        sum += part.mayRun(now, prepared) instanceof Permission.Yes ? 1 : 0;
      }
      System.out.println(
          "round "
              + round
              + ": look up, ask, render "
              + (middle - begin) / times
              + " ns; ask "
              + (System.nanoTime() - middle) / times
              + " ns; "
              + sum);
    }
  }
}
