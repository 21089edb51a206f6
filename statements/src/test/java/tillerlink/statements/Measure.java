package tillerlink.statements;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import tillerlink.simulation.Fault;
import tillerlink.statements.run.Permission;
import tillerlink.statements.run.Prepared;

/** A program, not a test, that prints the tables of docs/statements-design.md. */
final class Measure {
  private static final int CLUSTERS = 100;

  private Measure() {}

  public static void main(String[] args) {
    measureChange("no disturbance", cluster -> {});
    measureChange(
        "runs at all gateways, attempts of 2 to 42 ms",
        cluster -> {
          cluster.gatewayNames.forEach(name -> load(cluster, name));
          cluster.fleet.playFor(2 * ClusterFixture.SECOND);
        });
    measureChange(
        "the same, one in 1,000 attempts uncertain",
        cluster -> {
          cluster.setUncertainShare(0.001);
          cluster.gatewayNames.forEach(name -> load(cluster, name));
          cluster.fleet.playFor(2 * ClusterFixture.SECOND);
        });
    measureChange(
        "an attempt of 500 ms",
        cluster -> {
          cluster.setExecutionTime(500 * ClusterFixture.MS);
          cluster.run("g2", "top");
          cluster.fleet.playFor(10 * ClusterFixture.MS);
        });
    measureChange(
        "an uncertain attempt",
        cluster -> {
          cluster.setUncertainShare(1);
          cluster.run("g2", "top");
          cluster.fleet.playFor(50 * ClusterFixture.MS);
        });
    measureChange("a gateway killed", cluster -> cluster.kill("g2"));
    measureChange("a gateway paused", cluster -> cluster.pause("g2"));
    measureChange(
        "a gateway cut off",
        cluster ->
            cluster.gatewayNames.stream()
                .filter(other -> !other.equals("g2"))
                .forEach(other -> cluster.fleet.between("g2", other, Fault.CUT)));
    measureChange(
        "a voter killed",
        cluster ->
            cluster.kill(
                cluster.voters.stream()
                    .filter(voter -> !voter.equals(cluster.leader()))
                    .findFirst()
                    .orElseThrow()));
    measureChange("the leader killed", cluster -> cluster.kill(cluster.leader()));
    measureChange("links of 40 ms", cluster -> cluster.fleet.setDefaultFault(Fault.slow(400, 420)));
    measureChange(
        "20% of messages lost", cluster -> cluster.fleet.setDefaultFault(Fault.lossy(0.2)));
    measureRunCost();
  }

  private static void load(ClusterFixture cluster, String at) {
    cluster.run(at, "top");
    cluster.fleet.at(cluster.fleet.now() + 10 * ClusterFixture.MS, () -> load(cluster, at));
  }

  /**
   * Measures, over many simulated clusters, how long an announced change takes until it is in
   * effect and for how long a gateway can't run a statement meanwhile, and prints a row of the
   * table.
   *
   * @param disturbance is applied to the cluster before the announcement
   */
  private static void measureChange(String title, Consumer<ClusterFixture> disturbance) {
    List<Long> effects = new ArrayList<>();
    List<Long> gaps = new ArrayList<>();
    for (int seed = 1; seed <= CLUSTERS; seed++) {
      ClusterFixture cluster = new ClusterFixture(seed, 3, 4);
      cluster.setLeaseLength(3 * ClusterFixture.SECOND);
      cluster.startAll();
      cluster.playUntil(20 * ClusterFixture.SECOND, cluster::hasLeader);
      cluster.prepare(
          "g1", Fixtures.definition("top", "select 1 from orders_17.orders", 17), outcome -> {});
      for (String name : cluster.gatewayNames) {
        cluster.playUntil(5 * ClusterFixture.SECOND, () -> cluster.canRun(name, "top"));
      }
      cluster.fleet.playFor(5 * ClusterFixture.SECOND + seed * 7L);
      disturbance.accept(cluster);
      long announcedAt = cluster.fleet.now();
      cluster.announce("g1", Fixtures.untouched(17), outcome -> {});
      cluster.playUntil(
          60 * ClusterFixture.SECOND,
          () ->
              cluster.statements("g3").catalog().version(17) == 2 || !cluster.canRun("g3", "top"));
      long blockedAt = cluster.fleet.now();
      cluster.playUntil(
          60 * ClusterFixture.SECOND, () -> cluster.statements("g1").catalog().version(17) == 2);
      effects.add(cluster.fleet.now() - announcedAt);
      cluster.playUntil(60 * ClusterFixture.SECOND, () -> cluster.canRun("g3", "top"));
      gaps.add(cluster.fleet.now() - blockedAt);
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

  /** Measures and prints the cost of looking up, checking and rendering a run. */
  private static void measureRunCost() {
    ClusterFixture cluster = new ClusterFixture(1, 3, 1);
    cluster.setLeaseLength(1000 * ClusterFixture.SECOND);
    cluster.startAll();
    cluster.playUntil(20 * ClusterFixture.SECOND, cluster::hasLeader);
    cluster.prepare(
        "g1", Fixtures.definition("top", "select * from orders_17.orders", 17, 18), outcome -> {});
    cluster.playUntil(5 * ClusterFixture.SECOND, () -> cluster.canRun("g1", "top"));
    Statements statements = cluster.statements("g1");
    long now = cluster.fleet.now();
    for (int round = 0; round < 6; round++) {
      long checksum = 0;
      long startNanos = System.nanoTime();
      int iterations = 300_000;
      for (int i = 0; i < iterations; i++) {
        Prepared prepared = statements.lookUp("top").orElseThrow();
        checksum += statements.checkRun(now, prepared) instanceof Permission.Granted ? 1 : 0;
        checksum += prepared.text(List.of("Paris"), true).length();
      }
      long renderedNanos = System.nanoTime();
      Prepared prepared = statements.lookUp("top").orElseThrow();
      for (int i = 0; i < iterations; i++) {
        checksum += statements.checkRun(now, prepared) instanceof Permission.Granted ? 1 : 0;
      }
      System.out.println(
          "round "
              + round
              + ": look up, check, render "
              + (renderedNanos - startNanos) / iterations
              + " ns; check "
              + (System.nanoTime() - renderedNanos) / iterations
              + " ns; "
              + checksum);
    }
  }
}
