package tillerlink.statements;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import tillerlink.simulation.Fault;
import tillerlink.statements.run.Permission;
import tillerlink.statements.run.Prepared;

/** Prints the tables of docs/statements-design.md; part of no test. */
final class Measure {
  private static final int CLUSTERS = 100;

  private Measure() {}

  public static void main(String[] args) {
    change("calm", cluster -> {});
    change(
        "runs at all gateways, attempts of 2 to 42 ms",
        cluster -> {
          cluster.all.forEach(name -> load(cluster, name));
          cluster.fleet.playFor(2 * ClusterFixture.SECOND);
        });
    change(
        "the same, one in 1,000 attempts in doubt",
        cluster -> {
          cluster.setUncertainShare(0.001);
          cluster.all.forEach(name -> load(cluster, name));
          cluster.fleet.playFor(2 * ClusterFixture.SECOND);
        });
    change(
        "an attempt that goes on for 500 ms",
        cluster -> {
          cluster.setExecutionTime(500 * ClusterFixture.MS);
          cluster.run("g2", "top");
          cluster.fleet.playFor(10 * ClusterFixture.MS);
        });
    change(
        "an attempt in doubt",
        cluster -> {
          cluster.setUncertainShare(1);
          cluster.run("g2", "top");
          cluster.fleet.playFor(50 * ClusterFixture.MS);
        });
    change("a gateway killed", cluster -> cluster.kill("g2"));
    change("a gateway paused", cluster -> cluster.pause("g2"));
    change(
        "a gateway cut off",
        cluster ->
            cluster.all.stream()
                .filter(other -> !other.equals("g2"))
                .forEach(other -> cluster.fleet.between("g2", other, Fault.CUT)));
    change(
        "a voter killed",
        cluster ->
            cluster.kill(
                cluster.voters.stream()
                    .filter(voter -> !voter.equals(cluster.leader()))
                    .findFirst()
                    .orElseThrow()));
    change("the leader killed", cluster -> cluster.kill(cluster.leader()));
    change("links of 40 ms", cluster -> cluster.fleet.setDefaultFault(Fault.slow(400, 420)));
    change("20% of messages lost", cluster -> cluster.fleet.setDefaultFault(Fault.lossy(0.2)));
    cost();
  }

  private static void load(ClusterFixture cluster, String at) {
    cluster.run(at, "top");
    cluster.fleet.at(cluster.fleet.now() + 10 * ClusterFixture.MS, () -> load(cluster, at));
  }

  private static void change(String title, Consumer<ClusterFixture> disturbance) {
    List<Long> effects = new ArrayList<>();
    List<Long> gaps = new ArrayList<>();
    for (int seed = 1; seed <= CLUSTERS; seed++) {
      ClusterFixture cluster = new ClusterFixture(seed, 3, 4);
      cluster.setLeaseLength(3 * ClusterFixture.SECOND);
      cluster.startAll();
      cluster.playUntil(20 * ClusterFixture.SECOND, cluster::hasLeader);
      cluster.prepare(
          "g1", Fixtures.definition("top", "select 1 from orders_17.orders", 17), any -> {});
      for (String name : cluster.all) {
        cluster.playUntil(5 * ClusterFixture.SECOND, () -> cluster.canRun(name, "top"));
      }
      cluster.fleet.playFor(5 * ClusterFixture.SECOND + seed * 7L);
      disturbance.accept(cluster);
      long from = cluster.fleet.now();
      cluster.announce("g1", Fixtures.untouched(17), any -> {});
      cluster.playUntil(
          60 * ClusterFixture.SECOND,
          () ->
              cluster.statements("g3").catalog().version(17) == 2 || !cluster.canRun("g3", "top"));
      long lost = cluster.fleet.now();
      cluster.playUntil(
          60 * ClusterFixture.SECOND, () -> cluster.statements("g1").catalog().version(17) == 2);
      effects.add(cluster.fleet.now() - from);
      cluster.playUntil(60 * ClusterFixture.SECOND, () -> cluster.canRun("g3", "top"));
      gaps.add(cluster.fleet.now() - lost);
    }
    System.out.println(
        "| "
            + title
            + " | "
            + quantile(effects, 0.5)
            + " | "
            + quantile(effects, 0.99)
            + " | "
            + quantile(gaps, 0.5)
            + " | "
            + quantile(gaps, 0.99)
            + " |");
  }

  private static String quantile(List<Long> values, double share) {
    long[] sorted = values.stream().mapToLong(Long::longValue).sorted().toArray();
    return String.format(
        "%,d ms",
        Arrays.stream(sorted).skip((long) (share * (sorted.length - 1))).findFirst().orElseThrow()
            / 10);
  }

  private static void cost() {
    ClusterFixture cluster = new ClusterFixture(1, 3, 1);
    cluster.setLeaseLength(1000 * ClusterFixture.SECOND);
    cluster.startAll();
    cluster.playUntil(20 * ClusterFixture.SECOND, cluster::hasLeader);
    cluster.prepare(
        "g1", Fixtures.definition("top", "select * from orders_17.orders", 17, 18), any -> {});
    cluster.playUntil(5 * ClusterFixture.SECOND, () -> cluster.canRun("g1", "top"));
    Statements statements = cluster.statements("g1");
    long now = cluster.fleet.now();
    for (int round = 0; round < 6; round++) {
      long sum = 0;
      long begin = System.nanoTime();
      int times = 300_000;
      for (int i = 0; i < times; i++) {
        Prepared prepared = statements.lookUp("top").orElseThrow();
        sum += statements.checkRun(now, prepared) instanceof Permission.Granted ? 1 : 0;
        sum += prepared.text(List.of("Paris"), true).length();
      }
      long middle = System.nanoTime();
      Prepared prepared = statements.lookUp("top").orElseThrow();
      for (int i = 0; i < times; i++) {
        sum += statements.checkRun(now, prepared) instanceof Permission.Granted ? 1 : 0;
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
