package tillerlink.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipConfig;
import tillerlink.simulation.Fault;

/** Seeded random histories in virtual time: whatever happens, all agree once it has stopped. */
class HistoriesTest {
  private static final int HISTORIES = Integer.getInteger("tillerlink.histories", 2000);
  private static final long FIRST = Long.getLong("tillerlink.first", 0);

  /** From the last fault until all agree. */
  static final long AGREED_WITHIN = 60 * Play.SECOND;

  /** One history: what befalls the fleet is drawn from the seed, and can be printed. */
  static final class History {
    final Play play;
    final Random random;
    final int size;
    final StringBuilder story = new StringBuilder();
    int steps;

    History(long seed, MembershipConfig periods) {
      this(seed, periods, new ComponentFactories());
    }

    History(long seed, MembershipConfig periods, ComponentFactories makers) {
      this(seed, periods, makers, 0);
    }

    /**
     * @param members how many, or 0 if the seed says so
     */
    History(long seed, MembershipConfig periods, ComponentFactories makers, int members) {
      play = new Play(seed, periods);
      play.makers = makers;
      random = new Random(seed * 31 + 7);
      size = members > 0 ? members : 2 + random.nextInt(6);
      for (int i = 0; i < size; i++) {
        play.start("m" + i, seeds());
      }
    }

    private String[] seeds() {
      return size < 4
          ? new String[] {Play.at("m0"), Play.at("m1")}
          : new String[] {Play.at("m0"), Play.at("m1"), Play.at("m3")};
    }

    String any() {
      return "m" + random.nextInt(size);
    }

    void say(String what) {
      story.append(play.time()).append(what).append('\n');
    }

    void step() {
      String one = any();
      String other = any();
      switch (random.nextInt(12)) {
        case 0 -> kill(one);
        case 1, 2 -> start(one, play.kept.getOrDefault(one, 0L));
        case 3 -> start(one, random.nextInt(3));
        case 4 -> pause(one);
        case 5 -> {
          say("resume " + one);
          play.fleet.resume(Play.at(one));
        }
        case 6 -> link(one, other, Fault.CUT, "cut");
        case 7 -> between(one, other);
        case 8 -> bad();
        case 9 -> partition();
        case 10 -> leaveOrTwin(one);
        default -> other(one, other);
      }
    }

    private void kill(String name) {
      say("kill " + name);
      play.kill(name);
    }

    private void start(String name, long before) {
      say("start " + name + " after incarnation " + before);
      play.start(name, Play.at(name), before, seeds());
    }

    private void pause(String name) {
      say("pause " + name);
      play.fleet.pause(Play.at(name));
    }

    private void link(String one, String other, Fault fault, String words) {
      say(words + " " + one + " to " + other);
      play.fleet.link(Play.at(one), Play.at(other), fault);
    }

    private void between(String one, String other) {
      say("cut between " + one + " and " + other);
      play.fleet.between(Play.at(one), Play.at(other), Fault.CUT);
    }

    private void bad() {
      double lost = random.nextInt(4) / 10.0;
      long late = random.nextBoolean() ? 10 : 10 + random.nextInt(30_000);
      say("all links lose " + lost + ", late by up to " + late / 10 + " ms");
      play.fleet.setDefaultFault(Fault.bad(lost, random.nextInt(3) / 10.0, late));
    }

    private void partition() {
      int sides = random.nextInt(1 << size);
      say("partition " + Integer.toBinaryString(sides));
      for (int i = 0; i < size; i++) {
        for (int j = 0; j < size; j++) {
          boolean apart = (sides >> i & 1) != (sides >> j & 1);
          play.fleet.link(Play.at("m" + i), Play.at("m" + j), apart ? Fault.CUT : null);
        }
      }
    }

    private void leaveOrTwin(String name) {
      if (random.nextBoolean() && play.up.containsKey(Play.at(name))) {
        say("leave " + name);
        play.leave(name);
      } else {
        say("another " + name);
        play.start(name, Play.at("twin-" + name), random.nextInt(3), seeds());
      }
    }

    private void other(String one, String other) {
      switch (random.nextInt(4)) {
        case 0 -> {
          say("clock of " + one + " jumps");
          play.fleet.setClock(Play.at(one), random.nextInt(2_000_000) - 1_000_000);
        }
        case 1 -> {
          link(one, other, Fault.small(320), "small messages only");
          link(other, one, Fault.small(320), "small messages only");
        }
        case 2 -> link(one, other, Fault.slow(5000, 20_000), "slow");
        default -> {
          say("all links are as usual");
          play.fleet.heal();
          play.fleet.setDefaultFault(Fault.NONE);
        }
      }
    }

    /** Nothing more befalls it: all that are stopped go on, those that left are away. */
    void calm() {
      say("calm");
      play.fleet.heal();
      play.fleet.setDefaultFault(Fault.NONE);
      for (Play.Process process : List.copyOf(play.up.values())) {
        play.fleet.resume(process.address);
        if (process.leaving) {
          play.up.remove(process.address);
          play.fleet.kill(process.address);
        }
      }
      // Without any seed a process at another address can't be found.
      for (int i = 0; i < Math.min(size, 2); i++) {
        if (!play.up.containsKey(Play.at("m" + i))) {
          start("m" + i, play.kept.getOrDefault("m" + i, 0L));
        }
      }
    }

    /** One to three things in a few seconds. */
    void runShortly() {
      play.fleet.playFor(random.nextInt(30_000));
      for (int i = random.nextInt(3); i >= 0; i--) {
        steps++;
        step();
        play.fleet.playFor(random.nextInt(40_000));
      }
      calm();
    }

    void run() {
      for (int i = 0; i < 4 + random.nextInt(8); i++) {
        play.fleet.playFor(
            random.nextInt(6) == 0 ? random.nextInt(300_000) : random.nextInt(30_000));
        step();
      }
      play.fleet.playFor(random.nextInt(100_000));
      calm();
    }
  }

  @Test
  void allAgreeOnceItIsCalm() {
    long longest = 0;
    for (long seed = FIRST; seed < FIRST + HISTORIES; seed++) {
      History history = new History(seed, MembershipConfig.usual());
      try {
        history.run();
        long took = history.play.untilAgreed(AGREED_WITHIN);
        assertTrue(took >= 0, () -> "they do not agree: " + state(history.play));
        longest = Math.max(longest, took);
        oneOfEachName(history.play);
      } catch (AssertionError e) {
        throw new AssertionError(
            "seed " + seed + ": " + e.getMessage() + "\n" + history.story + tail(history.play), e);
      }
    }
    System.out.println(HISTORIES + " histories, all agreed within " + longest / 10 + " ms of calm");
  }

  static String tail(Play play) {
    StringBuilder out = new StringBuilder();
    play.told.forEach(line -> out.append(line).append('\n'));
    play.changes
        .subList(Math.max(0, play.changes.size() - 40), play.changes.size())
        .forEach(change -> out.append(change).append('\n'));
    return out.toString();
  }

  static String state(Play play) {
    StringBuilder out = new StringBuilder();
    play.up
        .values()
        .forEach(
            one -> {
              out.append('\n')
                  .append(one.address)
                  .append(one.members.yielded() ? " yielded" : "")
                  .append(" own ")
                  .append(one.members.incarnation(one.name))
                  .append(':');
              one.members
                  .names()
                  .forEach(
                      name ->
                          out.append(' ')
                              .append(name)
                              .append('=')
                              .append(one.members.reachability(name))
                              .append('@')
                              .append(one.members.incarnation(name)));
            });
    return out.toString();
  }

  /** Of several processes with one name one is left that takes part. */
  static void oneOfEachName(Play play) {
    for (String name : play.kept.keySet()) {
      long taking =
          play.up.values().stream()
              .filter(process -> process.name.equals(name) && !process.members.yielded())
              .count();
      assertTrue(taking <= 1, () -> name + " takes part " + taking + " times");
    }
  }

  /**
   * Pauses under two seconds, and messages lost, repeated and late: nobody who lives is given up.
   */
  @Test
  void nobodyIsGivenUpForAShortPauseOrLostMessages() {
    for (long seed = 0; seed < HISTORIES / 8; seed++) {
      Play play = new Play(seed, MembershipConfig.usual());
      Random random = new Random(seed);
      int size = 5 + random.nextInt(8);
      for (int i = 0; i < size; i++) {
        play.start("m" + i, Play.at("m0"), Play.at("m1"));
      }
      assertTrue(play.untilAgreed(20 * Play.SECOND) >= 0);
      play.fleet.setDefaultFault(
          Fault.bad(random.nextInt(4) / 10.0, 0.1, 10 + random.nextInt(1000)));
      for (int i = 0; i < 10; i++) {
        String address = Play.at("m" + random.nextInt(size));
        play.fleet.pause(address);
        play.fleet.playFor(random.nextInt(20_000));
        play.fleet.resume(address);
        play.fleet.playFor(random.nextInt(40_000));
      }
      long gone = play.changes.stream().filter(change -> change.is() == Reachability.GONE).count();
      assertEquals(0, gone, "seed " + seed + play.changes);
    }
  }
}
