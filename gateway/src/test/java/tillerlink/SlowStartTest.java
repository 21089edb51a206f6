package tillerlink;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Verifies slow start across many gateways: together they do not overload a warming engine, but do
 * use it.
 */
class SlowStartTest {
  private static final int[] GATEWAY_COUNTS = {3, 20, 30, 120};
  private static final double[] MEAN_WORKS = {1500, 9000};
  private static final double LATEST_NOTIFICATION_SECONDS = 1;

  private static SlowStartSimulation.Result[] simulate(
      int gateways, double meanWork, double latestNotificationSeconds, int starts) {
    SlowStartSimulation.Kind[] kinds = SlowStartSimulation.Kind.values();
    return IntStream.range(0, starts)
        .parallel()
        .mapToObj(
            i ->
                new SlowStartSimulation(
                        gateways,
                        meanWork,
                        (long) (10_000 * latestNotificationSeconds),
                        kinds[i % kinds.length],
                        31L * i + gateways)
                    .run())
        .toArray(SlowStartSimulation.Result[]::new);
  }

  private static double[] sorted(
      SlowStartSimulation.Result[] results, ToDoubleFunction<SlowStartSimulation.Result> measure) {
    return Arrays.stream(results).mapToDouble(measure).sorted().toArray();
  }

  /**
   * Guards against gateways that together send a warming engine too much or too little. In no
   * period may they send more than N + 2 sqrt(N) + 2 requests of mean work, where N is what the
   * settings allow the engine at the beginning of the period. The engine must receive at least half
   * of the work that it can do, or a third where the share of a gateway is one attempt in 30
   * periods.
   *
   * <p>With {@code -Dcold.starts=1000} the test prints a table of that many starts for each fleet
   * and checks nothing. {@code -Dcold.news} is the time in seconds until the last gateway is
   * notified. The columns are: the number of gateways; the initial N; the largest work in a period
   * divided by N (median, 90%, 99%, maximum); the same maximum divided by the bound, and in
   * parentheses only for work sent by gateways after their notification; the number of starts above
   * the bound; the mean share of the possible work that the engine received, and its range in nine
   * of ten starts.
   */
  @Test
  void noPeriodExceedsTheBoundAndTheEngineIsUsed() {
    int starts = Integer.getInteger("cold.starts", 6);
    boolean printsTable = Integer.getInteger("cold.starts") != null;
    double latestNotificationSeconds =
        Double.parseDouble(
            System.getProperty("cold.news", String.valueOf(LATEST_NOTIFICATION_SECONDS)));
    for (int gateways : GATEWAY_COUNTS) {
      for (double meanWork : MEAN_WORKS) {
        SlowStartSimulation.Result[] results =
            simulate(gateways, meanWork, latestNotificationSeconds, starts);
        long startsOverBound =
            Arrays.stream(results).filter(result -> result.maxOverBound() > 1).count();
        String row = tableRow(gateways, meanWork, results, startsOverBound);
        if (printsTable) {
          System.out.println(row);
        }
        double usedShare = mean(sorted(results, SlowStartSimulation.Result::usedShare));
        assertTrue(printsTable || startsOverBound == 0, row);
        assertTrue(
            printsTable || usedShare >= (gateways > 100 && meanWork > 5000 ? 0.33 : 0.5), row);
      }
    }
  }

  private static String tableRow(
      int gateways, double meanWork, SlowStartSimulation.Result[] results, long startsOverBound) {
    double[] maxOverAllowed = sorted(results, SlowStartSimulation.Result::maxOverAllowed);
    double[] usedShare = sorted(results, SlowStartSimulation.Result::usedShare);
    double maxOverBound =
        Arrays.stream(results)
            .mapToDouble(SlowStartSimulation.Result::maxOverBound)
            .max()
            .orElse(0);
    double maxOverBoundNotified =
        Arrays.stream(results)
            .mapToDouble(SlowStartSimulation.Result::maxOverBoundNotified)
            .max()
            .orElse(0);
    int last = results.length - 1;
    return String.format(
        Locale.ROOT,
        "| %d | %.0f | %.2f, %.2f, %.2f, %.2f | %.2f (notified: %.2f) | %d of %d | %.2f (%.2f to"
            + " %.2f) |",
        gateways,
        90_000 / meanWork,
        maxOverAllowed[results.length / 2],
        maxOverAllowed[results.length * 9 / 10],
        maxOverAllowed[results.length * 99 / 100],
        maxOverAllowed[last],
        maxOverBound,
        maxOverBoundNotified,
        startsOverBound,
        results.length,
        mean(usedShare),
        usedShare[results.length / 20],
        usedShare[last - results.length / 20]);
  }

  private static double mean(double[] values) {
    return Arrays.stream(values).average().orElse(0);
  }
}
