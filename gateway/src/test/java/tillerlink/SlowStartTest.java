package tillerlink;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Slow start over all gateways: together they do not overload a warming engine, and yet use it. */
class SlowStartTest {
  private static final int[] FLEETS = {3, 20, 30, 120};
  private static final double[] MEAN_WORKS = {1500, 9000};
  private static final double LATEST_NOTIFICATION = 1;

  private static SlowStartSimulation.Start[] play(
      int gateways, double meanWork, double latestNotification, int starts) {
    SlowStartSimulation.Kind[] kinds = SlowStartSimulation.Kind.values();
    return IntStream.range(0, starts)
        .parallel()
        .mapToObj(
            i ->
                new SlowStartSimulation(
                        gateways,
                        meanWork,
                        (long) (10_000 * latestNotification),
                        kinds[i % kinds.length],
                        31L * i + gateways)
                    .play())
        .toArray(SlowStartSimulation.Start[]::new);
  }

  private static double[] sorted(
      SlowStartSimulation.Start[] starts, ToDoubleFunction<SlowStartSimulation.Start> of) {
    return Arrays.stream(starts).mapToDouble(of).sorted().toArray();
  }

  /**
   * In no period of any start does what all gateways sent exceed N + 2 root N + 2 requests of mean
   * work, N being what the settings allow the engine at the period's beginning; and yet it is given
   * half of what it can do, a third where a gateway's part is an attempt in 30 periods. With {@code
   * -Dcold.starts=1000} it prints a table of as many starts for each fleet instead, {@code
   * -Dcold.news} being the seconds until the last gateway is notified: gateways; N at first; the
   * largest sum in a period over N (median, 90%, 99%, largest); the largest over the bound, and of
   * what gateways sent after they had been notified; starts over it; the mean share given of what
   * the engine can do, and where nine in ten lie.
   */
  @Test
  void noPeriodExceedsWhatTheOperatorsAllowAndTheEngineIsUsed() {
    int starts = Integer.getInteger("cold.starts", 6);
    boolean table = Integer.getInteger("cold.starts") != null;
    double latestNotification =
        Double.parseDouble(System.getProperty("cold.news", String.valueOf(LATEST_NOTIFICATION)));
    for (int gateways : FLEETS) {
      for (double meanWork : MEAN_WORKS) {
        SlowStartSimulation.Start[] all = play(gateways, meanWork, latestNotification, starts);
        long over = Arrays.stream(all).filter(start -> start.maxOverBound() > 1).count();
        String line = line(gateways, meanWork, all, over);
        if (table) {
          System.out.println(line);
        }
        double usedShare = mean(sorted(all, SlowStartSimulation.Start::usedShare));
        assertTrue(table || over == 0, line);
        assertTrue(table || usedShare >= (gateways > 100 && meanWork > 5000 ? 0.33 : 0.5), line);
      }
    }
  }

  private static String line(
      int gateways, double meanWork, SlowStartSimulation.Start[] all, long over) {
    double[] maxOverAllowed = sorted(all, SlowStartSimulation.Start::maxOverAllowed);
    double[] usedShare = sorted(all, SlowStartSimulation.Start::usedShare);
    double maxOverBound =
        Arrays.stream(all).mapToDouble(SlowStartSimulation.Start::maxOverBound).max().orElse(0);
    double maxOverBoundNotified =
        Arrays.stream(all)
            .mapToDouble(SlowStartSimulation.Start::maxOverBoundNotified)
            .max()
            .orElse(0);
    int last = all.length - 1;
    return String.format(
        Locale.ROOT,
        "| %d | %.0f | %.2f, %.2f, %.2f, %.2f | %.2f (told: %.2f) | %d of %d | %.2f (%.2f to %.2f)"
            + " |",
        gateways,
        90_000 / meanWork,
        maxOverAllowed[all.length / 2],
        maxOverAllowed[all.length * 9 / 10],
        maxOverAllowed[all.length * 99 / 100],
        maxOverAllowed[last],
        maxOverBound,
        maxOverBoundNotified,
        over,
        all.length,
        mean(usedShare),
        usedShare[all.length / 20],
        usedShare[last - all.length / 20]);
  }

  private static double mean(double[] values) {
    return Arrays.stream(values).average().orElse(0);
  }
}
