package tillerlink.faultinjection.play;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class CutterTest {
  private static Schedule schedule(long seed) {
    return Schedule.of(seed, 8000);
  }

  @Test
  void aSeedGivesItsScheduleAgain() {
    assertEquals(schedule(5), schedule(5));
    for (int seed = 0; seed < 200; seed++) {
      Schedule one = schedule(seed);
      assertTrue(one.gateways() >= 3 && one.gateways() <= 12, one::toString);
      assertTrue(
          one.steps().stream().noneMatch(step -> step.who().equals(step.other())), one::toString);
    }
  }

  /** The two steps that it takes are found among all, in few plays. */
  @Test
  void findsThePairThatFails() {
    Schedule whole =
        schedule(3)
            .with(
                java.util.stream.Stream.of(3, 4, 5, 6)
                    .flatMap(s -> schedule(s).steps().stream())
                    .toList());
    Step a = whole.steps().get(2);
    Step b = whole.steps().get(whole.steps().size() - 2);
    AtomicInteger tries = new AtomicInteger();
    Schedule cut =
        Cutter.cut(
            whole,
            shorter -> {
              tries.incrementAndGet();
              return shorter.steps().contains(a) && shorter.steps().contains(b);
            },
            100);
    assertEquals(List.of(a, b), cut.steps());
    assertTrue(tries.get() < 60, "plays: " + tries);
  }

  @Test
  void keepsToItsTries() {
    Schedule whole = schedule(9);
    AtomicInteger tries = new AtomicInteger();
    assertEquals(whole, Cutter.cut(whole, shorter -> tries.incrementAndGet() < 0, 3));
    assertEquals(3, tries.get());
  }
}
