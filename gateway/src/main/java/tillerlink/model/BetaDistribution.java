package tillerlink.model;

import java.util.Random;

/** Draws from a beta distribution, as the share of one gamma in the sum of two. */
public final class BetaDistribution {
  private BetaDistribution() {}

  /** Both shapes must be one or more. */
  public static double draw(Random random, double one, double other) {
    double first = gamma(random, one);
    return first / (first + gamma(random, other));
  }

  /**
   * Marsaglia and Tsang, "A simple method for generating gamma variables" (2000), for a shape of
   * one or more.
   */
  private static double gamma(Random random, double shape) {
    double d = shape - 1.0 / 3;
    double c = 1 / Math.sqrt(9 * d);
    while (true) {
      double x = random.nextGaussian();
      double v = Math.pow(1 + c * x, 3);
      if (v > 0 && Math.log(1 - random.nextDouble()) < x * x / 2 + d - d * v + d * Math.log(v)) {
        return d * v;
      }
    }
  }
}
