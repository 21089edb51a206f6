package tillerlink.model;

import java.util.Random;

/**
 * Draws samples from a beta distribution: the ratio of one gamma variable to the sum of two gamma
 * variables.
 */
public final class BetaDistribution {
  private BetaDistribution() {}

  /**
   * Draws a sample.
   *
   * @param random the source of randomness
   * @param alpha the first shape parameter, 1 or more
   * @param beta the second shape parameter, 1 or more
   * @return a number between 0 and 1
   */
  public static double draw(Random random, double alpha, double beta) {
    double gammaAlpha = gamma(random, alpha);
    return gammaAlpha / (gammaAlpha + gamma(random, beta));
  }

  /**
   * Draws a sample from a gamma distribution by the method of Marsaglia and Tsang, "A simple method
   * for generating gamma variables" (2000), which requires a shape of 1 or more.
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
