package tillerlink.members.measure;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Reachability;
import tillerlink.members.MemberFleet;
import tillerlink.members.config.MembershipConfig;
import tillerlink.simulation.Fault;

/**
 * Measures the tables of the design note in virtual time: {@code make members-tables}. Not part of
 * the checks: nothing is asserted but that fleets converge.
 */
class MeasureMembers {
  private static final Set<String> ONLY =
      Set.of(
          System.getProperty("tables", "detection,pauses,starved,bytes,heal,memory,others")
              .split(","));
  private static final int BIG = Integer.getInteger("big", 1000);

  private static final double[] LOST =
      Stream.of(System.getProperty("lost", "0,0.05,0.2,0.3").split(","))
          .mapToDouble(Double::parseDouble)
          .toArray();
  private static final int[] SIZES =
      IntStream.of(30, 120, BIG).filter(size -> size >= Integer.getInteger("from", 0)).toArray();

  private static String[] names(int size) {
    return IntStream.range(0, size).mapToObj(i -> String.format("g%04d", i)).toArray(String[]::new);
  }

  private static MembershipConfig config(boolean localHealth) {
    return localHealth
        ? MembershipConfig.usual()
        : MembershipConfig.usual().withMaxLocalHealthScore(0);
  }

  /** A fleet that has converged; its changes are not recorded. */
  static MemberFleet fleet(int size, long seed, MembershipConfig config) {
    MemberFleet fleet = new MemberFleet(seed, config);
    fleet.observe(change -> {});
    fleet.startAll(names(size));
    if (fleet.runUntilConverged(
            300 * MemberFleet.SECOND, size > 200 ? MemberFleet.SECOND : 100 * MemberFleet.MS)
        < 0) {
      throw new AssertionError(size + " did not converge");
    }
    return fleet;
  }

  private static void say(String line) {
    System.out.println(line);
    System.out.flush();
  }

  @Test
  void tables() {
    if (ONLY.contains("detection")) {
      detection();
    }
    if (ONLY.contains("pauses")) {
      pauses();
    }
    if (ONLY.contains("starved")) {
      starved();
    }
    if (ONLY.contains("bytes")) {
      bytes();
    }
    if (ONLY.contains("heal")) {
      heal();
    }
    if (ONLY.contains("memory")) {
      TableMemory.report(MeasureMembers::say);
    }
    if (ONLY.contains("others")) {
      OtherDetectors.report(MeasureMembers::say);
    }
  }

  // ---- a member dies ----

  private static void detection() {
    say(
        "\n"
            + "| members | lost | local health | given up by each: p50 | p99 | max | living"
            + " suspected, each hour and member | living given up |");
    say("|---|---|---|---|---|---|---|---|");
    for (int size : SIZES) {
      for (double lost : LOST) {
        detection(size, lost, true);
        detection(size, lost, false);
      }
    }
  }

  private static void detection(int size, double lost, boolean health) {
    Percentiles detectionTimes = new Percentiles();
    long[] falseAlarms = new long[2];
    long watched = 0;
    int plays = size == BIG ? 1 : 4;
    int kills = size == BIG ? 3 : 10;
    for (int seed = 0; seed < plays; seed++) {
      MemberFleet fleet = fleet(size, seed, config(health));
      fleet.network.setDefaultFault(Fault.lossy(lost));
      fleet.network.playFor(20 * MemberFleet.SECOND);
      Set<String> dead = new HashSet<>();
      long[] killedAt = new long[1];
      String[] last = {""};
      fleet.observe(
          change -> {
            if (change.member().equals(last[0]) && change.current() == Reachability.GONE) {
              detectionTimes.add(change.at() - killedAt[0]);
            } else if (!dead.contains(change.member())
                && change.current() == Reachability.SUSPECTED) {
              falseAlarms[0]++;
            } else if (!dead.contains(change.member()) && change.current() == Reachability.GONE) {
              falseAlarms[1]++;
            }
          });
      long start = fleet.network.now();
      for (int i = 0; i < kills; i++) {
        last[0] = names(size)[2 + i * (size - 3) / kills];
        killedAt[0] = fleet.network.now();
        dead.add(last[0]);
        fleet.kill(last[0]);
        fleet.network.playFor((size == BIG ? 25 : 30) * MemberFleet.SECOND);
      }
      watched += fleet.network.now() - start;
    }
    // A suspicion is counted once for each member that holds it; printed is the share of the fleet.
    double memberHours = watched / 36_000_000.0 * size;
    say(
        String.format(
            "| %d | %.0f%% | %s | %s | %s | %s | %.2f | %.2f |",
            size,
            lost * 100,
            health ? "on" : "off",
            detectionTimes.seconds(0.5),
            detectionTimes.seconds(0.99),
            detectionTimes.seconds(1),
            falseAlarms[0] / memberHours / (size - 1),
            falseAlarms[1] / memberHours / (size - 1)));
  }

  // ---- pauses ----

  private static void pauses() {
    say(
        "\n"
            + "| paused | for | local health | suspected by somebody | given up by somebody | by"
            + " all | known to all again: p50 | max | others suspected |");
    say("|---|---|---|---|---|---|---|---|---|");
    for (int many : new int[] {1, 10}) {
      for (double seconds : new double[] {0.5, 1, 2, 3, 5, 10, 30}) {
        pauses(many, seconds, true);
        pauses(many, seconds, false);
      }
    }
  }

  private static void pauses(int many, double seconds, boolean health) {
    int size = 30;
    int times = many == 1 ? 30 : 8;
    long[] counts = new long[4];
    Percentiles recoveryTimes = new Percentiles();
    Random random = new Random(many);
    MemberFleet fleet = fleet(size, many, config(health));
    Set<String> paused = new HashSet<>();
    Set<String> suspected = new HashSet<>();
    Set<String> gone = new HashSet<>();
    long[] goneBy = new long[1];
    fleet.observe(
        change -> {
          if (!paused.contains(change.member())) {
            counts[3] += change.current() == Reachability.SUSPECTED ? 1 : 0;
          } else if (change.current() == Reachability.SUSPECTED) {
            suspected.add(change.member());
          } else if (change.current() == Reachability.GONE) {
            gone.add(change.member());
            goneBy[0]++;
          }
        });
    for (int i = 0; i < times; i++) {
      while (paused.size() < many) {
        paused.add(names(size)[random.nextInt(size)]);
      }
      paused.forEach(name -> fleet.network.pause(MemberFleet.address(name)));
      fleet.network.playFor((long) (seconds * MemberFleet.SECOND));
      paused.stream().sorted().forEach(name -> fleet.network.resume(MemberFleet.address(name)));
      recoveryTimes.add(fleet.runUntilConverged(120 * MemberFleet.SECOND));
      fleet.network.playFor(20 * MemberFleet.SECOND);
      counts[0] += suspected.size();
      counts[1] += gone.size();
      counts[2] += goneBy[0];
      List.of(paused, suspected, gone).forEach(Set::clear);
      goneBy[0] = 0;
    }
    double all = times * many;
    say(
        String.format(
            "| %d of %d | %.1f s | %s | %.0f%% | %.0f%% | %.0f%% | %s | %s | %d |",
            many,
            size,
            seconds,
            health ? "on" : "off",
            100 * counts[0] / all,
            100 * counts[1] / all,
            100 * counts[2] / all / (size - many),
            recoveryTimes.seconds(0.5),
            recoveryTimes.seconds(1),
            counts[3]));
  }

  // ---- one that starves: what it sends and gets is lost more often than not ----

  private static void starved() {
    say(
        "\n"
            + "| members | of 1 the messages lost | local health | others suspected, an hour |"
            + " others given up, an hour |");
    say("|---|---|---|---|---|");
    for (double lost : new double[] {0.5, 0.7, 0.85}) {
      for (boolean health : new boolean[] {true, false}) {
        long[] counts = new long[2];
        int minutes = 30;
        MemberFleet fleet = fleet(30, 3, config(health));
        String starved = names(30)[5];
        for (String other : names(30)) {
          fleet.network.between(
              MemberFleet.address(starved), MemberFleet.address(other), Fault.lossy(lost));
        }
        // Counted at the starved member only, not at each that learnt of it.
        fleet.observe(
            change -> {
              if (!change.member().equals(starved) && change.observer().equals(starved)) {
                counts[0] += change.current() == Reachability.SUSPECTED ? 1 : 0;
                counts[1] += change.current() == Reachability.GONE ? 1 : 0;
              }
            });
        fleet.network.playFor(60L * minutes * MemberFleet.SECOND);
        say(
            String.format(
                "| 30 | %.0f%% | %s | %d | %d |",
                lost * 100,
                health ? "on" : "off",
                counts[0] * 60 / minutes,
                counts[1] * 60 / minutes));
      }
    }
  }

  // ---- bytes ----

  private static void bytes() {
    say(
        "\n"
            + "| members | lost | messages a second, each sent | bytes a second, each sent | bytes"
            + " of a message |");
    say("|---|---|---|---|---|");
    for (int size : new int[] {3, 30, 120, BIG}) {
      for (double lost : LOST) {
        MemberFleet fleet = fleet(size, 1, config(true));
        fleet.network.setDefaultFault(Fault.lossy(lost));
        fleet.network.playFor(40 * MemberFleet.SECOND);
        long messages = fleet.network.sent();
        long bytes = fleet.network.sentBytes();
        int seconds = 60;
        fleet.network.playFor(seconds * MemberFleet.SECOND);
        messages = fleet.network.sent() - messages;
        bytes = fleet.network.sentBytes() - bytes;
        say(
            String.format(
                "| %d | %.0f%% | %.1f | %.0f | %.0f |",
                size,
                lost * 100,
                messages / (double) seconds / size,
                bytes / (double) seconds / size,
                bytes / (double) messages));
      }
    }
  }

  // ---- healing ----

  private static void heal() {
    say(
        "\n"
            + "| members | what | for | all know all again after | bytes each, until then | living"
            + " given up meanwhile |");
    say("|---|---|---|---|---|---|");
    for (int size : SIZES) {
      heal(size, 2, 60);
      if (size != BIG) {
        heal(size, 3, 60);
      }
      restart(size);
    }
  }

  private static void heal(int size, int sides, int seconds) {
    MemberFleet fleet = fleet(size, sides, config(true));
    String[] names = names(size);
    for (int i = 0; i < size; i++) {
      for (int j = 0; j < size; j++) {
        if (i % sides != j % sides) {
          fleet.network.link(
              MemberFleet.address(names[i]), MemberFleet.address(names[j]), Fault.CUT);
        }
      }
    }
    fleet.network.playFor(seconds * MemberFleet.SECOND);
    fleet.network.heal();
    long[] gone = new long[1];
    fleet.observe(change -> gone[0] += change.current() == Reachability.GONE ? 1 : 0);
    long bytes = fleet.network.sentBytes();
    long took =
        fleet.runUntilConverged(
            600 * MemberFleet.SECOND, size == BIG ? MemberFleet.SECOND : 100 * MemberFleet.MS);
    say(
        String.format(
            "| %d | in %d parts | %d s | %.1f s | %d | %d |",
            size,
            sides,
            seconds,
            took / 10_000.0,
            (fleet.network.sentBytes() - bytes) / size,
            gone[0]));
  }

  private static void restart(int size) {
    MemberFleet fleet = fleet(size, 9, config(true));
    long bytes = fleet.network.sentBytes();
    fleet.startAll(names(size));
    long took =
        fleet.runUntilConverged(
            600 * MemberFleet.SECOND, size == BIG ? MemberFleet.SECOND : 100 * MemberFleet.MS);
    say(
        String.format(
            "| %d | all restarted at once | | %.1f s | %d | |",
            size, took / 10_000.0, (fleet.network.sentBytes() - bytes) / size));
  }
}
