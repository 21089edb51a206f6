package tillerlink.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The parts of the emulator against simple models of them. */
class EmulatorPartsTest {
  @Test
  void timelineRunsEventsInOrderOfTimeAndScheduling() {
    for (int seed = 0; seed < 30; seed++) {
      Random random = new Random(seed);
      Timeline timeline = new Timeline(100);
      PriorityQueue<long[]> model =
          new PriorityQueue<>(
              Comparator.<long[]>comparingLong(e -> e[0]).thenComparingLong(e -> e[1]));
      List<Long> happened = new ArrayList<>();
      List<Long> expected = new ArrayList<>();
      long scheduled = 0;
      long now = 100;
      for (int i = 0; i < 4000; i++) {
        if (random.nextInt(5) < 3 || model.isEmpty()) {
          long at = now + random.nextInt(50) - 5;
          long number = scheduled++;
          model.add(new long[] {Math.max(at, now), number});
          timeline.at(at, () -> happened.add(number));
        } else {
          long[] next = model.poll();
          now = next[0];
          expected.add(next[1]);
          assertTrue(timeline.step());
          assertEquals(now, timeline.now());
        }
      }
      assertEquals(expected, happened, "seed " + seed);
    }
  }

  /** The model advances each load in small steps with the same rate for each thread. */
  @Test
  void threadsShareCoresEvenly() {
    for (int seed = 0; seed < 20; seed++) {
      Random random = new Random(seed);
      SharedCpu cores = new SharedCpu(4, 1000);
      double[] left = new double[30];
      int[] threads = new int[30];
      double[] memory = new double[30];
      long[] endedAt = new long[30];
      long[] modelEnd = new long[30];
      List<SharedCpu.Load> loads = new ArrayList<>();
      double slowness = 1;
      for (long now = 0; now < 60_000; now++) {
        cores.advance(now);
        for (SharedCpu.Load load : cores.takeEnded()) {
          endedAt[(Integer) load.owner] = now;
        }
        if (now % 700 == 0 && loads.size() < 30) {
          int number = loads.size();
          threads[number] = 1 + random.nextInt(4);
          memory[number] = 1 + random.nextInt(150);
          left[number] = 100 + random.nextInt(5000);
          SharedCpu.Load load =
              new SharedCpu.Load(number, threads[number], memory[number], left[number]);
          loads.add(load);
          cores.add(load);
        }
        if (now == 9000 || now == 15_000) {
          slowness = now == 9000 ? 3 : 1;
          cores.setSlowness(slowness);
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
            modelEnd[i] = left[i] <= 0 ? now + 1 : 0;
          }
        }
      }
      for (int i = 0; i < loads.size(); i++) {
        assertTrue(
            modelEnd[i] > 0 && Math.abs(modelEnd[i] - endedAt[i]) <= 12,
            seed + ": load " + i + " ended at " + endedAt[i] + ", modelly at " + modelEnd[i]);
      }
    }
  }

  @Test
  void idempotencyKeyIsForgottenAfterItsWindow() {
    DeduplicationLog log = new DeduplicationLog(100);
    assertTrue(log.isFirst(0, "a"));
    assertTrue(!log.isFirst(99, "a"));
    assertTrue(log.isFirst(100, "a"));
    assertTrue(!log.isFirst(150, "a"));
  }
}
