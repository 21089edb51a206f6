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
 * Measures the tables of the design note in virtual time, run by {@code make members-tables}. It is
 * not part of the regular tests and asserts only that fleets converge.
 */
class MeasureMembers {
  private static final Set<String> SELECTED_TABLES =
      Set.of(
          System.getProperty("tables", "detection,pauses,starved,bytes,heal,memory,others")
              .split(","));
  private static final int LARGEST_SIZE = Integer.getInteger("big", 1000);

  private static final double[] LOSS_RATES =
      Stream.of(System.getProperty("lost", "0,0.05,0.2,0.3").split(","))
          .mapToDouble(Double::parseDouble)
          .toArray();
  private static final int[] SIZES =
      IntStream.of(30, 120, LARGEST_SIZE)
          .filter(size -> size >= Integer.getInteger("from", 0))
          .toArray();

  private static String[] names(int size) {
    return IntStream.range(0, size).mapToObj(i -> String.format("g%04d", i)).toArray(String[]::new);
  }

  private static MembershipConfig config(boolean localHealth) {
    return localHealth
        ? MembershipConfig.usual()
        : MembershipConfig.usual().withMaxLocalHealthScore(0);
  }

  /** Returns a fleet that has converged and does not record its changes. */
  static MemberFleet convergedFleet(int size, long seed, MembershipConfig config) {
    MemberFleet fleet = new MemberFleet(seed, config);
    fleet.observe(change -> {});
    fleet.startAll(names(size));
    if (fleet.runUntilConverged(
            300 * MemberFleet.SECOND, size > 200 ? MemberFleet.SECOND : 100 * MemberFleet.MS)
        < 0) {
      throw new AssertionError(size + " members did not converge");
    }
    return fleet;
  }

  private static void print(String line) {
    System.out.println(line);
    System.out.flush();
  }

  @Test
  void printTables() {
    if (SELECTED_TABLES.contains("detection")) {
      measureDetection();
    }
    if (SELECTED_TABLES.contains("pauses")) {
      measurePauses();
    }
    if (SELECTED_TABLES.contains("starved")) {
      measureStarvedMember();
    }
    if (SELECTED_TABLES.contains("bytes")) {
      measureBytes();
    }
    if (SELECTED_TABLES.contains("heal")) {
      measureHealing();
    }
    if (SELECTED_TABLES.contains("memory")) {
      TableMemory.report(MeasureMembers::print);
    }
    if (SELECTED_TABLES.contains("others")) {
      OtherDetectors.report(MeasureMembers::print);
    }
  }

  // ---- a member dies ----

  private static void measureDetection() {
    print(
        "\n"
            + "| members | lost | local health | detected by each: p50 | p99 | max | live members"
            + " suspected, per hour and member | live members declared failed |");
    print("|---|---|---|---|---|---|---|---|");
    for (int size : SIZES) {
      for (double lossRate : LOSS_RATES) {
        measureDetection(size, lossRate, true);
        measureDetection(size, lossRate, false);
      }
    }
  }

  private static void measureDetection(int size, double lossRate, boolean localHealth) {
    Percentiles detectionTimes = new Percentiles();
    long[] falseAlarms = new long[2];
    long observedTime = 0;
    int runs = size == LARGEST_SIZE ? 1 : 4;
    int kills = size == LARGEST_SIZE ? 3 : 10;
    for (int seed = 0; seed < runs; seed++) {
      MemberFleet fleet = convergedFleet(size, seed, config(localHealth));
      fleet.network.setDefaultFault(Fault.lossy(lossRate));
      fleet.network.playFor(20 * MemberFleet.SECOND);
      Set<String> dead = new HashSet<>();
      long[] killedAt = new long[1];
      String[] victim = {""};
      fleet.observe(
          change -> {
            if (change.member().equals(victim[0]) && change.current() == Reachability.GONE) {
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
        victim[0] = names(size)[2 + i * (size - 3) / kills];
        killedAt[0] = fleet.network.now();
        dead.add(victim[0]);
        fleet.kill(victim[0]);
        fleet.network.playFor((size == LARGEST_SIZE ? 25 : 30) * MemberFleet.SECOND);
      }
      observedTime += fleet.network.now() - start;
    }
    // A suspicion is counted once for each member that observes it; the table contains the average
    // over the observers.
    double memberHours = observedTime / 36_000_000.0 * size;
    print(
        String.format(
            "| %d | %.0f%% | %s | %s | %s | %s | %.2f | %.2f |",
            size,
            lossRate * 100,
            localHealth ? "on" : "off",
            detectionTimes.seconds(0.5),
            detectionTimes.seconds(0.99),
            detectionTimes.seconds(1),
            falseAlarms[0] / memberHours / (size - 1),
            falseAlarms[1] / memberHours / (size - 1)));
  }

  // ---- pauses ----

  private static void measurePauses() {
    print(
        "\n"
            + "| paused | for | local health | suspected by any | declared failed by any | by"
            + " all | converged after: p50 | max | others suspected |");
    print("|---|---|---|---|---|---|---|---|---|");
    for (int pausedCount : new int[] {1, 10}) {
      for (double seconds : new double[] {0.5, 1, 2, 3, 5, 10, 30}) {
        measurePauses(pausedCount, seconds, true);
        measurePauses(pausedCount, seconds, false);
      }
    }
  }

  private static void measurePauses(int pausedCount, double seconds, boolean localHealth) {
    int size = 30;
    int times = pausedCount == 1 ? 30 : 8;
    long[] counts = new long[4];
    Percentiles recoveryTimes = new Percentiles();
    Random random = new Random(pausedCount);
    MemberFleet fleet = convergedFleet(size, pausedCount, config(localHealth));
    Set<String> paused = new HashSet<>();
    Set<String> suspected = new HashSet<>();
    Set<String> declaredFailed = new HashSet<>();
    long[] failureReports = new long[1];
    fleet.observe(
        change -> {
          if (!paused.contains(change.member())) {
            counts[3] += change.current() == Reachability.SUSPECTED ? 1 : 0;
          } else if (change.current() == Reachability.SUSPECTED) {
            suspected.add(change.member());
          } else if (change.current() == Reachability.GONE) {
            declaredFailed.add(change.member());
            failureReports[0]++;
          }
        });
    for (int i = 0; i < times; i++) {
      while (paused.size() < pausedCount) {
        paused.add(names(size)[random.nextInt(size)]);
      }
      paused.forEach(name -> fleet.network.pause(MemberFleet.address(name)));
      fleet.network.playFor((long) (seconds * MemberFleet.SECOND));
      paused.stream().sorted().forEach(name -> fleet.network.resume(MemberFleet.address(name)));
      recoveryTimes.add(fleet.runUntilConverged(120 * MemberFleet.SECOND));
      fleet.network.playFor(20 * MemberFleet.SECOND);
      counts[0] += suspected.size();
      counts[1] += declaredFailed.size();
      counts[2] += failureReports[0];
      List.of(paused, suspected, declaredFailed).forEach(Set::clear);
      failureReports[0] = 0;
    }
    double all = times * pausedCount;
    print(
        String.format(
            "| %d of %d | %.1f s | %s | %.0f%% | %.0f%% | %.0f%% | %s | %s | %d |",
            pausedCount,
            size,
            seconds,
            localHealth ? "on" : "off",
            100 * counts[0] / all,
            100 * counts[1] / all,
            100 * counts[2] / all / (size - pausedCount),
            recoveryTimes.seconds(0.5),
            recoveryTimes.seconds(1),
            counts[3]));
  }

  // ---- a starved member, which loses half or more of the messages it sends and receives ----

  private static void measureStarvedMember() {
    print(
        "\n"
            + "| members | lost messages of 1 member | local health | others suspected per hour |"
            + " others declared failed per hour |");
    print("|---|---|---|---|---|");
    for (double lossRate : new double[] {0.5, 0.7, 0.85}) {
      for (boolean localHealth : new boolean[] {true, false}) {
        long[] counts = new long[2];
        int minutes = 30;
        MemberFleet fleet = convergedFleet(30, 3, config(localHealth));
        String starved = names(30)[5];
        for (String other : names(30)) {
          fleet.network.between(
              MemberFleet.address(starved), MemberFleet.address(other), Fault.lossy(lossRate));
        }
        // Suspicions are counted only at the starved member, not at members that hear of them.
        fleet.observe(
            change -> {
              if (!change.member().equals(starved) && change.observer().equals(starved)) {
                counts[0] += change.current() == Reachability.SUSPECTED ? 1 : 0;
                counts[1] += change.current() == Reachability.GONE ? 1 : 0;
              }
            });
        fleet.network.playFor(60L * minutes * MemberFleet.SECOND);
        print(
            String.format(
                "| 30 | %.0f%% | %s | %d | %d |",
                lossRate * 100,
                localHealth ? "on" : "off",
                counts[0] * 60 / minutes,
                counts[1] * 60 / minutes));
      }
    }
  }

  // ---- bytes ----

  private static void measureBytes() {
    print(
        "\n"
            + "| members | lost | messages sent per second and member | bytes sent per second and"
            + " member | bytes per message |");
    print("|---|---|---|---|---|");
    for (int size : new int[] {3, 30, 120, LARGEST_SIZE}) {
      for (double lossRate : LOSS_RATES) {
        MemberFleet fleet = convergedFleet(size, 1, config(true));
        fleet.network.setDefaultFault(Fault.lossy(lossRate));
        fleet.network.playFor(40 * MemberFleet.SECOND);
        long messages = fleet.network.sent();
        long bytes = fleet.network.sentBytes();
        int seconds = 60;
        fleet.network.playFor(seconds * MemberFleet.SECOND);
        messages = fleet.network.sent() - messages;
        bytes = fleet.network.sentBytes() - bytes;
        print(
            String.format(
                "| %d | %.0f%% | %.1f | %.0f | %.0f |",
                size,
                lossRate * 100,
                messages / (double) seconds / size,
                bytes / (double) seconds / size,
                bytes / (double) messages));
      }
    }
  }

  // ---- healing ----

  private static void measureHealing() {
    print(
        "\n"
            + "| members | scenario | for | converged after | bytes per member until then | live"
            + " members declared failed meanwhile |");
    print("|---|---|---|---|---|---|");
    for (int size : SIZES) {
      measureHealing(size, 2, 60);
      if (size != LARGEST_SIZE) {
        measureHealing(size, 3, 60);
      }
      measureRestart(size);
    }
  }

  private static void measureHealing(int size, int sides, int seconds) {
    MemberFleet fleet = convergedFleet(size, sides, config(true));
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
    long[] declaredFailed = new long[1];
    fleet.observe(change -> declaredFailed[0] += change.current() == Reachability.GONE ? 1 : 0);
    long bytes = fleet.network.sentBytes();
    long convergenceTime =
        fleet.runUntilConverged(
            600 * MemberFleet.SECOND,
            size == LARGEST_SIZE ? MemberFleet.SECOND : 100 * MemberFleet.MS);
    print(
        String.format(
            "| %d | in %d parts | %d s | %.1f s | %d | %d |",
            size,
            sides,
            seconds,
            convergenceTime / 10_000.0,
            (fleet.network.sentBytes() - bytes) / size,
            declaredFailed[0]));
  }

  private static void measureRestart(int size) {
    MemberFleet fleet = convergedFleet(size, 9, config(true));
    long bytes = fleet.network.sentBytes();
    fleet.startAll(names(size));
    long convergenceTime =
        fleet.runUntilConverged(
            600 * MemberFleet.SECOND,
            size == LARGEST_SIZE ? MemberFleet.SECOND : 100 * MemberFleet.MS);
    print(
        String.format(
            "| %d | all restarted at once | | %.1f s | %d | |",
            size, convergenceTime / 10_000.0, (fleet.network.sentBytes() - bytes) / size));
  }
}
