package tillerlink.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipConfig;
import tillerlink.simulation.Fault;

/**
 * Runs difficult scenarios and compares the resulting timelines, which show how the members saw
 * each other, with recorded ones.
 */
class TimelinesTest {
  private static final long HALF_SECOND = MemberFleet.SECOND / 2;

  /** Length of the time at the beginning of a log line, which the timeline omits. */
  private static final int TIME_CHARS = 11;

  private final StringBuilder timeline = new StringBuilder();
  private MemberFleet fleet;
  private long startedAt;

  private void startFleet(String... names) {
    fleet = new MemberFleet(11, MembershipConfig.usual());
    fleet.startAll(names);
    fleet.network.playFor(20 * MemberFleet.SECOND);
    fleet.changes.clear();
    fleet.notices.clear();
    startedAt = fleet.network.now();
  }

  private void event(String description, Consumer<MemberFleet> action, double seconds) {
    double startSeconds = (fleet.network.now() - startedAt) / (double) MemberFleet.SECOND;
    timeline.append(String.format("%6.1f s  ## %s%n", startSeconds, description));
    action.accept(fleet);
    fleet.network.playFor((long) (seconds * MemberFleet.SECOND));
    Map<String, Set<String>> observersByChange = new LinkedHashMap<>();
    for (MemberFleet.Change change : fleet.changes) {
      observersByChange
          .computeIfAbsent(lineOf(change), key -> new TreeSet<>())
          .add(change.observer());
    }
    observersByChange.forEach(
        (line, observers) ->
            timeline.append(String.format(line, String.join(" ", observers))).append('\n'));
    fleet.notices.forEach(
        line -> timeline.append("         ").append(line.substring(TIME_CHARS)).append('\n'));
    fleet.changes.clear();
    fleet.notices.clear();
  }

  /**
   * Returns the line of a change, with a format specifier for its observers. Observers within the
   * same half second share a line.
   */
  private String lineOf(MemberFleet.Change change) {
    long halfSeconds = (change.at() - startedAt) / HALF_SECOND;
    return String.format(
        "%6.1f s  %%s: %s %s, was %s",
        halfSeconds / 2.0, change.member(), toText(change.current()), toText(change.previous()));
  }

  private static String toText(Reachability reachability) {
    return reachability.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  private void assertTimelineAsRecorded(String name) {
    try (InputStream in = TimelinesTest.class.getResourceAsStream("/timelines/" + name + ".txt")) {
      assertNotNull(in, () -> name + ":\n" + timeline);
      assertEquals(
          new String(in.readAllBytes(), StandardCharsets.UTF_8),
          timeline.toString().replace("\r", ""));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Test
  void pausedMembersAnnounceTheirReturn() {
    startFleet("a", "b", "c", "d");
    event(
        "b is stopped for 1 s", simulated -> simulated.network.pause(MemberFleet.address("b")), 1);
    event("b goes on", simulated -> simulated.network.resume(MemberFleet.address("b")), 10);
    event(
        "b is stopped for 12 s",
        simulated -> simulated.network.pause(MemberFleet.address("b")),
        12);
    event("b goes on", simulated -> simulated.network.resume(MemberFleet.address("b")), 10);
    event(
        "a, c and d are stopped for 3 s",
        simulated ->
            List.of("a", "c", "d")
                .forEach(one -> simulated.network.pause(MemberFleet.address(one))),
        3);
    event(
        "they go on",
        simulated ->
            List.of("a", "c", "d")
                .forEach(one -> simulated.network.resume(MemberFleet.address(one))),
        10);
    assertTimelineAsRecorded("paused");
  }

  @Test
  void membersBehindOneWayCutsAreReachableThroughOthers() {
    startFleet("a", "b", "c", "d");
    event(
        "nothing of a reaches b",
        simulated ->
            simulated.network.link(MemberFleet.address("a"), MemberFleet.address("b"), Fault.CUT),
        60);
    event("healed", simulated -> simulated.network.heal(), 10);
    event(
        "a and b cut, only c reaches both",
        simulated -> {
          simulated.cut(List.of("a"), List.of("b", "d"));
          simulated.cut(List.of("b"), List.of("d"));
        },
        60);
    event(
        "healed; small messages only between a and b",
        simulated -> {
          simulated.network.heal();
          simulated.network.between(
              MemberFleet.address("a"), MemberFleet.address("b"), Fault.small(300));
        },
        60);
    assertTimelineAsRecorded("cut-one-way");
  }

  @Test
  void bothSidesOfAPartitionRejoin() {
    startFleet("a", "b", "c", "d", "e");
    event(
        "a and b on one side, c, d and e on the other",
        simulated -> simulated.cut(List.of("a", "b"), List.of("c", "d", "e")),
        20);
    event(
        "b is started anew meanwhile",
        simulated -> simulated.start("b", MemberFleet.address("a")),
        5);
    event("healed", simulated -> simulated.network.heal(), 10);
    event(
        "all are started anew at once",
        simulated -> simulated.startAll("a", "b", "c", "d", "e"),
        10);
    assertTimelineAsRecorded("partition");
  }

  @Test
  void namesMoveBetweenAddressesAndProcesses() {
    startFleet("a", "b", "c");
    event(
        "another b is started elsewhere",
        simulated -> simulated.start("b", "elsewhere", 0, MemberFleet.address("a")),
        10);
    event(
        "d is started at the old address of b",
        simulated -> simulated.start("d", MemberFleet.address("b"), 0, MemberFleet.address("a")),
        10);
    event(
        "the clocks of a and c jump by a day",
        simulated -> {
          simulated.network.setClock(MemberFleet.address("a"), 86_400 * MemberFleet.SECOND);
          simulated.network.setClock(MemberFleet.address("c"), -86_400 * MemberFleet.SECOND);
        },
        10);
    event("c leaves", simulated -> simulated.leave("c"), 10);
    event(
        "c is started again without its disk",
        simulated -> simulated.start("c", MemberFleet.address("c"), 0, MemberFleet.address("a")),
        10);
    assertTimelineAsRecorded("names");
  }
}
