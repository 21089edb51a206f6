package tillerlink.model;

import java.util.Random;

/** Draws from a beta distribution, as the share of one gamma variable in the sum of two. */
public final class BetaDistribution {
  private BetaDistribution() {}

  /** Draws a number between 0 and 1; both shapes must be one or more. */
  public static double draw(Random random, double one, double other) {
    double first = gamma(random, one);
    return first / (first + gamma(random, other));
  }

  /**
   * Marsaglia and Tsang, "A simple method for generating gamma variables" (2000), for a shape of
   * one or more.
   */
  private static double gamma(Random random, double shape) {
    double offset = shape - 1.0 / 3;
    double factor = 1 / Math.sqrt(9 * offset);
    while (true) {
      double normal = random.nextGaussian();
      double cube = Math.pow(1 + factor * normal, 3);
      if (cube > 0
          && Math.log(1 - random.nextDouble())
              < normal * normal / 2 + offset - offset * cube + offset * Math.log(cube)) {
        return offset * cube;
      }
    }
  }
}
