package tillerlink;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Rule 4 over all gateways: a cold engine is not pushed over by them together, and yet used. */
class SlowStartTest {
  private static final int[] FLEETS = {3, 20, 30, 120};
  private static final double[] MEAN_WORKS = {1500, 9000};
  private static final double LATEST_NEWS = 1;

  private static SlowStartSimulation.Start[] play(
      int gateways, double meanWork, double latestNews, int starts) {
    SlowStartSimulation.Kind[] kinds = SlowStartSimulation.Kind.values();
    return IntStream.range(0, starts)
        .parallel()
        .mapToObj(
            i ->
                new SlowStartSimulation(
                        gateways,
                        meanWork,
                        (long) (10_000 * latestNews),
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
   * In no span of any start does what all gateways sent exceed N + 2 root N + 2 requests of mean
   * work, N being what the settings allow the engine at the span's beginning; and yet it is given
   * half of what it can do, a third where a gateway's part is an attempt in 30 spans. With {@code
   * -Dcold.starts=1000} it prints a table of as many starts for each fleet instead, {@code
   * -Dcold.news} being the seconds until the last gateway is told: gateways; N at first; the
   * largest sum in a span over N (median, 90%, 99%, largest); the largest over the bound, and of
   * what gateways sent that had been told; starts over it; the mean share given of what the engine
   * can do, and where nine in ten lie.
   */
  @Test
  void noSpanGetsMoreThanTheOperatorsAllowAndTheEngineIsUsed() {
    int starts = Integer.getInteger("cold.starts", 6);
    boolean table = Integer.getInteger("cold.starts") != null;
    double latestNews =
        Double.parseDouble(System.getProperty("cold.news", String.valueOf(LATEST_NEWS)));
    for (int gateways : FLEETS) {
      for (double meanWork : MEAN_WORKS) {
        SlowStartSimulation.Start[] all = play(gateways, meanWork, latestNews, starts);
        long over = Arrays.stream(all).filter(start -> start.bound() > 1).count();
        String line = line(gateways, meanWork, all, over);
        if (table) {
          System.out.println(line);
        }
        double given = mean(sorted(all, SlowStartSimulation.Start::given));
        assertTrue(table || over == 0, line);
        assertTrue(table || given >= (gateways > 100 && meanWork > 5000 ? 0.33 : 0.5), line);
      }
    }
  }

  private static String line(
      int gateways, double meanWork, SlowStartSimulation.Start[] all, long over) {
    double[] most = sorted(all, SlowStartSimulation.Start::most);
    double[] given = sorted(all, SlowStartSimulation.Start::given);
    double bound = Arrays.stream(all).mapToDouble(SlowStartSimulation.Start::bound).max().orElse(0);
    double told = Arrays.stream(all).mapToDouble(SlowStartSimulation.Start::told).max().orElse(0);
    int last = all.length - 1;
    return String.format(
        Locale.ROOT,
        "| %d | %.0f | %.2f, %.2f, %.2f, %.2f | %.2f (told: %.2f) | %d of %d | %.2f (%.2f to %.2f)"
            + " |",
        gateways,
        90_000 / meanWork,
        most[all.length / 2],
        most[all.length * 9 / 10],
        most[all.length * 99 / 100],
        most[last],
        bound,
        told,
        over,
        all.length,
        mean(given),
        given[all.length / 20],
        given[last - all.length / 20]);
  }

  private static double mean(double[] values) {
    return Arrays.stream(values).average().orElse(0);
  }
}
