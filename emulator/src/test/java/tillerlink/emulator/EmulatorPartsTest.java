package tillerlink.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests of the emulator's parts, which compare some of them with simple models. */
class EmulatorPartsTest {
  @Test
  void timelineRunsEventsInOrderOfTimeAndScheduling() {
    for (int seed = 0; seed < 30; seed++) {
      Random random = new Random(seed);
      Timeline timeline = new Timeline(100);
      PriorityQueue<long[]> model =
          new PriorityQueue<>(
              Comparator.<long[]>comparingLong(event -> event[0])
                  .thenComparingLong(event -> event[1]));
      List<Long> actual = new ArrayList<>();
      List<Long> expected = new ArrayList<>();
      long nextSequence = 0;
      long now = 100;
      for (int i = 0; i < 4000; i++) {
        if (random.nextInt(5) < 3 || model.isEmpty()) {
          long at = now + random.nextInt(50) - 5;
          long sequence = nextSequence++;
          model.add(new long[] {Math.max(at, now), sequence});
          timeline.at(at, () -> actual.add(sequence));
        } else {
          long[] next = model.poll();
          now = next[0];
          expected.add(next[1]);
          assertTrue(timeline.step());
          assertEquals(now, timeline.now());
        }
      }
      assertEquals(expected, actual, "seed " + seed);
    }
  }

  /**
   * Compares {@link SharedCpu} with a model that advances each load in steps of 0.1 ms, with the
   * same rate for each thread. Guards against loads that end too early or too late when other
   * loads, the memory in use or the slowness change the rate.
   */
  @Test
  void threadsShareCoresEqually() {
    for (int seed = 0; seed < 20; seed++) {
      Random random = new Random(seed);
      SharedCpu cores = new SharedCpu(4, 1000);
      double[] remaining = new double[30];
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
          int index = loads.size();
          threads[index] = 1 + random.nextInt(4);
          memory[index] = 1 + random.nextInt(150);
          remaining[index] = 100 + random.nextInt(5000);
          SharedCpu.Load load =
              new SharedCpu.Load(index, threads[index], memory[index], remaining[index]);
          loads.add(load);
          cores.add(load);
        }
        if (now == 9000 || now == 15_000) {
          slowness = now == 9000 ? 3 : 1;
          cores.setSlowness(slowness);
        }
        int runningThreads = 0;
        double usedMemory = 0;
        for (int i = 0; i < loads.size(); i++) {
          runningThreads += remaining[i] > 0 ? threads[i] : 0;
          usedMemory += remaining[i] > 0 ? memory[i] : 0;
        }
        double swapFactor = usedMemory > 1000 ? Math.pow(1000 / usedMemory, 2) : 1;
        for (int i = 0; i < loads.size(); i++) {
          if (remaining[i] > 0) {
            remaining[i] -= Math.min(1, 4.0 / runningThreads) * swapFactor / slowness * threads[i];
            modelEnd[i] = remaining[i] <= 0 ? now + 1 : 0;
          }
        }
      }
      for (int i = 0; i < loads.size(); i++) {
        assertTrue(
            modelEnd[i] > 0 && Math.abs(modelEnd[i] - endedAt[i]) <= 12,
            seed + ": load " + i + " ended at " + endedAt[i] + ", in the model at " + modelEnd[i]);
      }
    }
  }

  @Test
  void idempotencyKeyExpiresAfterItsWindow() {
    DeduplicationLog log = new DeduplicationLog(100);
    assertTrue(log.isFirst(0, "a"));
    assertTrue(!log.isFirst(99, "a"));
    assertTrue(log.isFirst(100, "a"));
    assertTrue(!log.isFirst(150, "a"));
  }
}
