package tillerlink.channels;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
import tillerlink.channels.journal.ChannelLog;
import tillerlink.channels.journal.EventSet;
import tillerlink.messages.channels.Ballot;
import tillerlink.messages.channels.Span;
import tillerlink.simulation.InMemoryKeyValueStore;

/** Each check can fail: faults injected into the state of gateways, and what caught them. */
class InjectedFaultsTest {
  private static final int SEEDS = 40;

  private static Object get(Object of, String... path) {
    try {
      Object at = of;
      for (String name : path) {
        Field field = at.getClass().getDeclaredField(name);
        field.setAccessible(true);
        at = field.get(at);
      }
      return at;
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void set(Object of, String name, Object value) {
    try {
      Field field = of.getClass().getDeclaredField(name);
      field.setAccessible(true);
      field.set(of, value);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }

  /** What caught it first, over some seeds: an invariant's first words, or the audit's. */
  private static String caught(Consumer<History> fault) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      History history = new History(seed, 40);
      fault.accept(history);
      try {
        List<String> violations = history.play();
        if (!violations.isEmpty()) {
          return "audit: "
              + violations
                  .get(0)
                  .replaceAll("[0-9a-f]{6,}-\\d+-[0-9a-f]+", "ID")
                  .replaceAll("\\b(was|of|at)\\b.*| (news|sport) \\d+.*", "")
                  .strip();
        }
      } catch (AssertionError e) {
        return e.getMessage()
            .replaceAll("[0-9a-f]{6,}-\\d+-[0-9a-f]+", "ID")
            .replaceAll("\\d+.*", "N")
            .strip();
      }
    }
    return "not caught";
  }

  private static Consumer<History> each(Consumer<Channels> fault) {
    return history -> history.each = () -> history.fleet.running.values().forEach(fault);
  }

  @Test
  void aForgottenPromiseIsCaught() {
    assertEquals(
        "invariant broken: promised less than was accepted",
        caught(
            each(
                channels ->
                    set(
                        get(channels, "consensus", "acceptor", "state"),
                        "promised",
                        Ballot.NONE))));
  }

  @Test
  void aSequenceNumberUsedTwiceIsCaught() {
    assertEquals(
        "invariant broken: an own number is used a second time",
        caught(
            each(
                channels ->
                    set(
                        get(channels, "writer"),
                        "sequence",
                        Math.max(0, (long) get(channels, "writer", "sequence") - 1)))));
  }

  @Test
  void oneIncarnationOfTwoProcessesIsCaught() {
    assertEquals(
        "invariant broken: two different events have identifier ID",
        caught(
            history -> {
              RandomGenerator same = new SplittableRandom(1);
              history.fleet.wallOf =
                  name -> 1_000_000_000L * (1 + history.fleet.names.indexOf(name));
              history.fleet.randomOf =
                  name ->
                      new RandomGenerator() {
                        @Override
                        public long nextLong() {
                          return same.nextLong();
                        }

                        @Override
                        public int nextInt(int bound) {
                          return bound == 1 << 20 ? 7 : same.nextInt(bound);
                        }
                      };
              history.each =
                  () -> {
                    if (history.fleet.running.containsKey("n1")) {
                      history.fleet.kill("n1");
                      history.fleet.start("n1", new InMemoryKeyValueStore(history.fleet.net, 5));
                      history.fleet.append(
                          "n1", "news", Fleet.cue("c", "at " + history.fleet.net.now()));
                    }
                  };
            }));
  }

  @Test
  void anEventSetWithoutAHeldEventIsCaught() {
    assertEquals(
        "invariant broken: stable and provisional events do not add up to the known events",
        caught(
            each(
                channels -> {
                  EventSet provisional =
                      (EventSet) get(channels, "journal", "events", "provisional");
                  List<Span> spans = provisional.spans();
                  if (spans.size() > 1) {
                    provisional.remove(spans.get(0));
                  }
                })));
  }

  @Test
  void stableEventsThatChangePlacesAreCaught() {
    assertEquals(
        "audit: stable",
        caught(
            each(
                channels -> {
                  ChannelLog log =
                      (ChannelLog) ((Map<?, ?>) get(channels, "journal", "logs")).get("news");
                  List<?> stable = log == null ? List.of() : (ArrayList<?>) get(log, "stable");
                  if (stable.size() > 3 && stable.size() % 3 == 0) {
                    Collections.swap(stable, 0, 1);
                  }
                })));
  }

  @Test
  void anotherOrderAtOneGatewayIsCaught() {
    assertEquals(
        "invariant broken: stable events up to step N",
        caught(
            each(
                channels ->
                    set(
                        get(channels, "journal"),
                        "digest",
                        (long) get(channels, "journal", "digest") + 1))));
  }

  @Test
  void differentCountedGatewaysAreCaught() {
    assertEquals(
        "invariant broken: stable events up to step N",
        caught(
            history -> {
              history.fleet.configOf =
                  name ->
                      name.equals("s1") ? ChannelLogConfig.of(List.of("s1")) : history.fleet.config;
              history.each = () -> history.fleet.cut(List.of("s1"));
            }));
  }

  @Test
  void aClockThatForgetsObservedStampsIsCaught() {
    assertEquals(
        "audit: ID is stamped before what its writer had seen",
        caught(each(channels -> set(get(channels, "clock"), "last", 0L))));
  }

  @Test
  void aDiskThatLosesDurableEventsIsCaught() {
    assertEquals(
        "audit: n1 news has provisional events",
        caught(
            history ->
                history.each =
                    () -> {
                      for (String name : history.fleet.running.keySet()) {
                        NavigableMap<?, ?> disk =
                            (NavigableMap<?, ?>) get(history.fleet.disks.get(name), "disk");
                        disk.keySet().removeIf(key -> key.toString().startsWith("e/"));
                      }
                    }));
  }

  @Test
  void aVoteBeforeTheOthersAnsweredIsCaught() {
    assertEquals(
        "audit: stable",
        caught(
            history ->
                history.each =
                    () -> {
                      for (String name : List.copyOf(history.fleet.running.keySet())) {
                        if (history.fleet.random.nextInt(4) == 0) {
                          history.fleet.kill(name);
                          history.fleet.start(
                              name, new InMemoryKeyValueStore(history.fleet.net, 5));
                          set(
                              get(history.fleet.running.get(name), "consensus", "acceptor"),
                              "votes",
                              true);
                        }
                      }
                    }));
  }
}
