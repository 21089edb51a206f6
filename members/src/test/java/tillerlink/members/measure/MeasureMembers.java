package tillerlink.members.measure;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Reachability;
import tillerlink.members.Play;
import tillerlink.members.config.MembershipConfig;
import tillerlink.simulation.Fault;

/**
 * The tables of the design note, from virtual time: {@code make members-tables}. Not part of the
 * checks: nothing is asserted but that fleets come together.
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

  private static MembershipConfig periods(boolean health) {
    return health ? MembershipConfig.usual() : MembershipConfig.usual().withMaxLocalHealthScore(0);
  }

  /** A fleet that knows all of itself; changes are told to nobody. */
  static Play fleet(int size, long seed, MembershipConfig periods) {
    Play play = new Play(seed, periods);
    play.heard = change -> {};
    play.startAll(names(size));
    if (play.untilAgreed(300 * Play.SECOND, size > 200 ? Play.SECOND : 100 * Play.MS) < 0) {
      throw new AssertionError(size + " did not come together");
    }
    return play;
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
      Memory.say(MeasureMembers::say);
    }
    if (ONLY.contains("others")) {
      Others.say(MeasureMembers::say);
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
    Spread found = new Spread();
    long[] alarms = new long[2];
    long watched = 0;
    int plays = size == BIG ? 1 : 4;
    int kills = size == BIG ? 3 : 10;
    for (int seed = 0; seed < plays; seed++) {
      Play play = fleet(size, seed, periods(health));
      play.fleet.setDefaultFault(Fault.lossy(lost));
      play.fleet.playFor(20 * Play.SECOND);
      Set<String> dead = new HashSet<>();
      long[] killedAt = new long[1];
      String[] last = {""};
      play.heard =
          change -> {
            if (change.of().equals(last[0]) && change.is() == Reachability.GONE) {
              found.add(change.at() - killedAt[0]);
            } else if (!dead.contains(change.of()) && change.is() == Reachability.SUSPECTED) {
              alarms[0]++;
            } else if (!dead.contains(change.of()) && change.is() == Reachability.GONE) {
              alarms[1]++;
            }
          };
      long start = play.fleet.now();
      for (int i = 0; i < kills; i++) {
        last[0] = names(size)[2 + i * (size - 3) / kills];
        killedAt[0] = play.fleet.now();
        dead.add(last[0]);
        play.kill(last[0]);
        play.fleet.playFor((size == BIG ? 25 : 30) * Play.SECOND);
      }
      watched += play.fleet.now() - start;
    }
    // A suspicion is counted once for each who holds it; told here as suspicions of a member by the
    // whole fleet.
    double memberHours = watched / 36_000_000.0 * size;
    say(
        String.format(
            "| %d | %.0f%% | %s | %s | %s | %s | %.2f | %.2f |",
            size,
            lost * 100,
            health ? "on" : "off",
            found.seconds(0.5),
            found.seconds(0.99),
            found.seconds(1),
            alarms[0] / memberHours / (size - 1),
            alarms[1] / memberHours / (size - 1)));
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
    Spread back = new Spread();
    Random random = new Random(many);
    Play play = fleet(size, many, periods(health));
    Set<String> paused = new HashSet<>();
    Set<String> suspected = new HashSet<>();
    Set<String> gone = new HashSet<>();
    long[] goneBy = new long[1];
    play.heard =
        change -> {
          if (!paused.contains(change.of())) {
            counts[3] += change.is() == Reachability.SUSPECTED ? 1 : 0;
          } else if (change.is() == Reachability.SUSPECTED) {
            suspected.add(change.of());
          } else if (change.is() == Reachability.GONE) {
            gone.add(change.of());
            goneBy[0]++;
          }
        };
    for (int i = 0; i < times; i++) {
      while (paused.size() < many) {
        paused.add(names(size)[random.nextInt(size)]);
      }
      paused.forEach(name -> play.fleet.pause(Play.at(name)));
      play.fleet.playFor((long) (seconds * Play.SECOND));
      paused.stream().sorted().forEach(name -> play.fleet.resume(Play.at(name)));
      back.add(play.untilAgreed(120 * Play.SECOND));
      play.fleet.playFor(20 * Play.SECOND);
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
            back.seconds(0.5),
            back.seconds(1),
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
        Play play = fleet(30, 3, periods(health));
        String one = names(30)[5];
        for (String other : names(30)) {
          play.fleet.between(Play.at(one), Play.at(other), Fault.lossy(lost));
        }
        // Counted by whom it befell, not by each who was told of it.
        play.heard =
            change -> {
              if (!change.of().equals(one) && change.by().equals(one)) {
                counts[0] += change.is() == Reachability.SUSPECTED ? 1 : 0;
                counts[1] += change.is() == Reachability.GONE ? 1 : 0;
              }
            };
        play.fleet.playFor(minutes * 60 * Play.SECOND);
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
        Play play = fleet(size, 1, periods(true));
        play.fleet.setDefaultFault(Fault.lossy(lost));
        play.fleet.playFor(40 * Play.SECOND);
        long messages = play.fleet.sent();
        long bytes = play.fleet.sentBytes();
        int seconds = 60;
        play.fleet.playFor(seconds * Play.SECOND);
        messages = play.fleet.sent() - messages;
        bytes = play.fleet.sentBytes() - bytes;
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
    Play play = fleet(size, sides, periods(true));
    String[] names = names(size);
    for (int i = 0; i < size; i++) {
      for (int j = 0; j < size; j++) {
        if (i % sides != j % sides) {
          play.fleet.link(Play.at(names[i]), Play.at(names[j]), Fault.CUT);
        }
      }
    }
    play.fleet.playFor(seconds * Play.SECOND);
    play.fleet.heal();
    long[] gone = new long[1];
    play.heard = change -> gone[0] += change.is() == Reachability.GONE ? 1 : 0;
    long bytes = play.fleet.sentBytes();
    long took = play.untilAgreed(600 * Play.SECOND, size == BIG ? Play.SECOND : 100 * Play.MS);
    say(
        String.format(
            "| %d | in %d parts | %d s | %.1f s | %d | %d |",
            size,
            sides,
            seconds,
            took / 10_000.0,
            (play.fleet.sentBytes() - bytes) / size,
            gone[0]));
  }

  private static void restart(int size) {
    Play play = fleet(size, 9, periods(true));
    long bytes = play.fleet.sentBytes();
    play.startAll(names(size));
    long took = play.untilAgreed(600 * Play.SECOND, size == BIG ? Play.SECOND : 100 * Play.MS);
    say(
        String.format(
            "| %d | all restarted at once | | %.1f s | %d | |",
            size, took / 10_000.0, (play.fleet.sentBytes() - bytes) / size));
  }
}
