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
import java.util.TreeSet;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipConfig;
import tillerlink.simulation.Fault;

/** Hard cases as timelines to be read: who took whom for what, compared with the kept ones. */
class TimelinesTest {
  private final StringBuilder out = new StringBuilder();
  private Play play;
  private long begun;

  private void fleet(String... names) {
    play = new Play(11, MembershipConfig.usual());
    play.startAll(names);
    play.fleet.playFor(20 * Play.SECOND);
    play.changes.clear();
    play.told.clear();
    begun = play.fleet.now();
  }

  private void event(String words, Consumer<Play> what, double seconds) {
    out.append(
        String.format(
            "%6.1f s  ## %s%n", (play.fleet.now() - begun) / (double) Play.SECOND, words));
    what.accept(play);
    play.fleet.playFor((long) (seconds * Play.SECOND));
    // Who saw the same within the same half second stands on one line.
    Map<String, TreeSet<String>> together = new LinkedHashMap<>();
    play.changes.forEach(
        change ->
            together
                .computeIfAbsent(
                    String.format(
                        "%6.1f s  %%s: %s %s, was %s",
                        (change.at() - begun) / 5000 / 2.0,
                        change.of(),
                        word(change.is()),
                        word(change.was())),
                    any -> new TreeSet<>())
                .add(change.by()));
    together.forEach(
        (line, by) -> out.append(String.format(line, String.join(" ", by))).append('\n'));
    play.told.forEach(line -> out.append("         ").append(line.substring(11)).append('\n'));
    play.changes.clear();
    play.told.clear();
  }

  private static String word(Reachability reach) {
    return reach.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  private void same(String name) {
    try (InputStream in = TimelinesTest.class.getResourceAsStream("/timelines/" + name + ".txt")) {
      assertNotNull(in, () -> name + ":\n" + out);
      assertEquals(
          new String(in.readAllBytes(), StandardCharsets.UTF_8), out.toString().replace("\r", ""));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void cut(Play play, List<String> some, List<String> others) {
    some.forEach(
        one ->
            others.forEach(other -> play.fleet.between(Play.at(one), Play.at(other), Fault.CUT)));
  }

  @Test
  void paused() {
    fleet("a", "b", "c", "d");
    event("b is stopped for 1 s", any -> any.fleet.pause(Play.at("b")), 1);
    event("b goes on", any -> any.fleet.resume(Play.at("b")), 10);
    event("b is stopped for 12 s", any -> any.fleet.pause(Play.at("b")), 12);
    event("b goes on", any -> any.fleet.resume(Play.at("b")), 10);
    event(
        "a, c and d are stopped for 3 s",
        any -> List.of("a", "c", "d").forEach(one -> any.fleet.pause(Play.at(one))),
        3);
    event(
        "they go on",
        any -> List.of("a", "c", "d").forEach(one -> any.fleet.resume(Play.at(one))),
        10);
    same("paused");
  }

  @Test
  void cutOneWay() {
    fleet("a", "b", "c", "d");
    event(
        "nothing of a reaches b", any -> any.fleet.link(Play.at("a"), Play.at("b"), Fault.CUT), 60);
    event("healed", any -> any.fleet.heal(), 10);
    event(
        "a and b cut, only c reaches both",
        any -> {
          cut(any, List.of("a"), List.of("b", "d"));
          cut(any, List.of("b"), List.of("d"));
        },
        60);
    event(
        "healed; small messages only between a and b",
        any -> {
          any.fleet.heal();
          any.fleet.between(Play.at("a"), Play.at("b"), Fault.small(300));
        },
        60);
    same("cut-one-way");
  }

  @Test
  void partition() {
    fleet("a", "b", "c", "d", "e");
    event(
        "a and b on one side, c, d and e on the other",
        any -> cut(any, List.of("a", "b"), List.of("c", "d", "e")),
        20);
    event("b is started anew meanwhile", any -> any.start("b", Play.at("a")), 5);
    event("healed", any -> any.fleet.heal(), 10);
    event("all are started anew at once", any -> any.startAll("a", "b", "c", "d", "e"), 10);
    same("partition");
  }

  @Test
  void names() {
    fleet("a", "b", "c");
    event(
        "another b is started elsewhere", any -> any.start("b", "elsewhere", 0, Play.at("a")), 10);
    event(
        "d is started at the old address of b",
        any -> any.start("d", Play.at("b"), 0, Play.at("a")),
        10);
    event(
        "the clocks of a and c jump by a day",
        any -> {
          any.fleet.setClock(Play.at("a"), 86_400 * Play.SECOND);
          any.fleet.setClock(Play.at("c"), -86_400 * Play.SECOND);
        },
        10);
    event("c leaves", any -> any.leave("c"), 10);
    event(
        "c is started again without its disk",
        any -> any.start("c", Play.at("c"), 0, Play.at("a")),
        10);
    same("names");
  }
}
