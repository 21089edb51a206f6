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

/**
 * Verifies that the invariants and the audit detect faults. Each test injects a fault into the
 * state of running gateways and asserts which check detects it first.
 */
class InjectedFaultsTest {
  private static final int SEEDS = 40;

  private static Object get(Object target, String... path) {
    try {
      Object current = target;
      for (String name : path) {
        Field field = current.getClass().getDeclaredField(name);
        field.setAccessible(true);
        current = field.get(current);
      }
      return current;
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void set(Object target, String name, Object value) {
    try {
      Field field = target.getClass().getDeclaredField(name);
      field.setAccessible(true);
      field.set(target, value);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Runs histories with an injected fault until a check detects it, for at most {@value #SEEDS}
   * seeds.
   *
   * @return the start of the message of the first invariant or audit violation, with identifiers
   *     replaced; "not detected" if no check detected the fault
   */
  private static String firstDetection(Consumer<History> fault) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      History history = new History(seed, 40);
      fault.accept(history);
      try {
        List<String> violations = history.run();
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
    return "not detected";
  }

  private static Consumer<History> afterEachStep(Consumer<Channels> fault) {
    return history -> history.afterStep = () -> history.fleet.running.values().forEach(fault);
  }

  @Test
  void aLostPromiseIsDetected() {
    assertEquals(
        "invariant broken: promised less than was accepted",
        firstDetection(
            afterEachStep(
                channels ->
                    set(
                        get(channels, "consensus", "acceptor", "state"),
                        "promised",
                        Ballot.NONE))));
  }

  @Test
  void aSequenceNumberUsedTwiceIsDetected() {
    assertEquals(
        "invariant broken: an own number is used a second time",
        firstDetection(
            afterEachStep(
                channels ->
                    set(
                        get(channels, "writer"),
                        "sequence",
                        Math.max(0, (long) get(channels, "writer", "sequence") - 1)))));
  }

  @Test
  void twoProcessesWithTheSameIncarnationAreDetected() {
    assertEquals(
        "invariant broken: two different events have identifier ID",
        firstDetection(
            history -> {
              RandomGenerator shared = new SplittableRandom(1);
              history.fleet.wallOf =
                  name -> 1_000_000_000L * (1 + history.fleet.names.indexOf(name));
              history.fleet.randomOf =
                  name ->
                      new RandomGenerator() {
                        @Override
                        public long nextLong() {
                          return shared.nextLong();
                        }

                        @Override
                        public int nextInt(int bound) {
                          return bound == 1 << 20 ? 7 : shared.nextInt(bound);
                        }
                      };
              history.afterStep =
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
  void aKnownEventMissingFromItsSetIsDetected() {
    assertEquals(
        "invariant broken: stable and provisional events do not add up to the known events",
        firstDetection(
            afterEachStep(
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
  void stableEventsThatSwapPositionsAreDetected() {
    assertEquals(
        "audit: stable",
        firstDetection(
            afterEachStep(
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
  void aDifferentOrderAtOneGatewayIsDetected() {
    assertEquals(
        "invariant broken: stable events up to step N",
        firstDetection(
            afterEachStep(
                channels ->
                    set(
                        get(channels, "journal"),
                        "digest",
                        (long) get(channels, "journal", "digest") + 1))));
  }

  @Test
  void differentFoundingVotersAreDetected() {
    assertEquals(
        "invariant broken: stable events up to step N",
        firstDetection(
            history -> {
              history.fleet.configOf =
                  name ->
                      name.equals("s1") ? ChannelLogConfig.of(List.of("s1")) : history.fleet.config;
              history.afterStep = () -> history.fleet.cut(List.of("s1"));
            }));
  }

  @Test
  void aClockThatLosesObservedStampsIsDetected() {
    assertEquals(
        "audit: ID has a stamp not above a stamp its writer had seen",
        firstDetection(afterEachStep(channels -> set(get(channels, "clock"), "last", 0L))));
  }

  @Test
  void aDiskThatLosesDurableEventsIsDetected() {
    assertEquals(
        "audit: n1 news has provisional events",
        firstDetection(
            history ->
                history.afterStep =
                    () -> {
                      for (String name : history.fleet.running.keySet()) {
                        NavigableMap<?, ?> disk =
                            (NavigableMap<?, ?>) get(history.fleet.disks.get(name), "disk");
                        disk.keySet().removeIf(key -> key.toString().startsWith("e/"));
                      }
                    }));
  }

  @Test
  void aVoteBeforeTheOtherVotersAnsweredIsDetected() {
    assertEquals(
        "audit: stable",
        firstDetection(
            history ->
                history.afterStep =
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
