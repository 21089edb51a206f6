package tillerlink.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The emulator's own parts against plain ones that are easy to believe. */
class MachineryTest {
  @Test
  void theTimelineKeepsTimeAndOrder() {
    for (int seed = 0; seed < 30; seed++) {
      Random random = new Random(seed);
      Timeline timeline = new Timeline(100);
      PriorityQueue<long[]> plain =
          new PriorityQueue<>(
              Comparator.<long[]>comparingLong(e -> e[0]).thenComparingLong(e -> e[1]));
      List<Long> happened = new ArrayList<>();
      List<Long> wanted = new ArrayList<>();
      long put = 0;
      long now = 100;
      for (int i = 0; i < 4000; i++) {
        if (random.nextInt(5) < 3 || plain.isEmpty()) {
          long at = now + random.nextInt(50) - 5;
          long number = put++;
          plain.add(new long[] {Math.max(at, now), number});
          timeline.at(at, () -> happened.add(number));
        } else {
          long[] next = plain.poll();
          now = next[0];
          wanted.add(next[1]);
          assertTrue(timeline.step());
          assertEquals(now, timeline.now());
        }
      }
      assertEquals(wanted, happened, "seed " + seed);
    }
  }

  /** One load after the other reckoned in small steps, each thread getting the same. */
  @Test
  void coresAreShared() {
    for (int seed = 0; seed < 20; seed++) {
      Random random = new Random(seed);
      Cores cores = new Cores(4, 1000);
      double[] left = new double[30];
      int[] threads = new int[30];
      double[] memory = new double[30];
      long[] endedAt = new long[30];
      long[] plainEnd = new long[30];
      List<Cores.Load> loads = new ArrayList<>();
      double slowness = 1;
      for (long now = 0; now < 60_000; now++) {
        cores.advance(now);
        for (Cores.Load load : cores.ended()) {
          endedAt[(Integer) load.what] = now;
        }
        if (now % 700 == 0 && loads.size() < 30) {
          int number = loads.size();
          threads[number] = 1 + random.nextInt(4);
          memory[number] = 1 + random.nextInt(150);
          left[number] = 100 + random.nextInt(5000);
          Cores.Load load = new Cores.Load(number, threads[number], memory[number], left[number]);
          loads.add(load);
          cores.add(load);
        }
        if (now == 9000 || now == 15_000) {
          slowness = now == 9000 ? 3 : 1;
          cores.slowness(slowness);
        }
        int all = 0;
        double used = 0;
        for (int i = 0; i < loads.size(); i++) {
          all += left[i] > 0 ? threads[i] : 0;
          used += left[i] > 0 ? memory[i] : 0;
        }
        double spill = used > 1000 ? Math.pow(1000 / used, 2) : 1;
        for (int i = 0; i < loads.size(); i++) {
          if (left[i] > 0) {
            left[i] -= Math.min(1, 4.0 / all) * spill / slowness * threads[i];
            plainEnd[i] = left[i] <= 0 ? now + 1 : 0;
          }
        }
      }
      for (int i = 0; i < loads.size(); i++) {
        assertTrue(
            plainEnd[i] > 0 && Math.abs(plainEnd[i] - endedAt[i]) <= 12,
            seed + ": load " + i + " ended at " + endedAt[i] + ", plainly at " + plainEnd[i]);
      }
    }
  }

  @Test
  void aMarkIsForgottenAfterItsTime() {
    DeduplicationLog receipts = new DeduplicationLog(100);
    assertTrue(receipts.first(0, "a"));
    assertTrue(!receipts.first(99, "a"));
    assertTrue(receipts.first(100, "a"));
    assertTrue(!receipts.first(150, "a"));
  }
}
