package tillerlink.faultinjection.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class ScheduleShrinkerTest {
  private static Schedule schedule(long seed) {
    return Schedule.of(seed, 8000);
  }

  @Test
  void sameSeedGivesTheSameSchedule() {
    assertEquals(schedule(5), schedule(5));
    for (int seed = 0; seed < 200; seed++) {
      Schedule schedule = schedule(seed);
      assertTrue(schedule.gateways() >= 3 && schedule.gateways() <= 12, schedule::toString);
      assertTrue(
          schedule.steps().stream().noneMatch(step -> step.who().equals(step.other())),
          schedule::toString);
    }
  }

  /**
   * Tests that the two steps that cause a failure are found among all in fewer than 60 attempts.
   */
  @Test
  void findsTheTwoNecessarySteps() {
    Schedule original =
        schedule(3)
            .with(
                java.util.stream.Stream.of(3, 4, 5, 6)
                    .flatMap(otherSeed -> schedule(otherSeed).steps().stream())
                    .toList());
    Step first = original.steps().get(2);
    Step second = original.steps().get(original.steps().size() - 2);
    AtomicInteger attempts = new AtomicInteger();
    Schedule shrunk =
        ScheduleShrinker.shrink(
            original,
            shorter -> {
              attempts.incrementAndGet();
              return shorter.steps().contains(first) && shorter.steps().contains(second);
            },
            100);
    assertEquals(List.of(first, second), shrunk.steps());
    assertTrue(attempts.get() < 60, "attempts: " + attempts);
  }

  @Test
  void stopsAfterTheMaximumNumberOfAttempts() {
    Schedule original = schedule(9);
    AtomicInteger attempts = new AtomicInteger();
    assertEquals(
        original, ScheduleShrinker.shrink(original, shorter -> attempts.incrementAndGet() < 0, 3));
    assertEquals(3, attempts.get());
  }
}
