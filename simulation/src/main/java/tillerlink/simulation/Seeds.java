package tillerlink.simulation;

import java.util.Arrays;
import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;

/**
 * A runner for randomly drawn histories, each determined by its seed. The histories share no state
 * and run in parallel; their results are reported in the order of the seeds, so that the report
 * does not depend on the number of cores. Three system properties select the seeds: {@code
 * -Dhistories.seed=N} runs a single seed and prints its trace, {@code -Dhistories.count=N} sets the
 * number of seeds, and {@code -Dhistories.first=N} sets the first one, which is 1 by default.
 */
public final class Seeds {
  /** The default of {@code histories.seed}, which selects no single seed. */
  private static final int ALL_SEEDS = -1;

  private static final long SINGLE_SEED = Long.getLong("histories.seed", ALL_SEEDS);

  /** The number of failed histories whose traces are printed. */
  private static final int MAX_TRACES = 3;

  /** The number of failures that the error message lists. */
  private static final int MAX_LISTED_FAILURES = 20;

  /** The number of stack frames that the description of an exception contains. */
  private static final int MAX_STACK_FRAMES = 4;

  /** A history that is determined by its seed and shares no state with other histories. */
  public interface Seeded {
    /**
     * Runs the history; called once. An exception or an assertion error also counts as a failure.
     *
     * @return a description of the failure, or null if the history succeeded
     */
    String play();

    /** Returns a readable trace of the events so far. */
    String trace();

    /** Returns figures to be summed over all histories; every history returns equally many. */
    long[] sums();
  }

  private record Result(long seed, String failure, String trace, long[] sums) {}

  private Seeds() {}

  /**
   * Runs the histories of successive seeds.
   *
   * @param name the name of the system under test, for the message of a failure
   * @param defaultCount the number of histories to run, unless a system property sets another one
   * @param history creates the history of a seed
   * @return the number of histories, followed by the sums of their figures
   * @throws AssertionError if a history failed. The message lists the first 20 failed seeds, and
   *     the traces of the first 3 are printed.
   */
  public static long[] play(String name, int defaultCount, LongFunction<Seeded> history) {
    long first = isSingle() ? SINGLE_SEED : Long.getLong("histories.first", 1);
    int count = isSingle() ? 1 : Integer.getInteger("histories.count", defaultCount);
    List<Result> results =
        LongStream.range(first, first + count)
            .parallel()
            .mapToObj(seed -> run(seed, history))
            .toList();
    List<Result> failures = results.stream().filter(result -> result.failure != null).toList();
    printTraces(results, failures);
    if (!failures.isEmpty()) {
      throw new AssertionError(describe(name, count, failures));
    }
    long[] sums = new long[1 + results.get(0).sums.length];
    sums[0] = count;
    results.forEach(
        result -> Arrays.setAll(sums, i -> i == 0 ? sums[0] : sums[i] + result.sums[i - 1]));
    return sums;
  }

  private static boolean isSingle() {
    return SINGLE_SEED >= 0;
  }

  private static void printTraces(List<Result> results, List<Result> failures) {
    if (isSingle()) {
      results.forEach(result -> System.out.println(result.trace));
      return;
    }
    failures.stream()
        .limit(MAX_TRACES)
        .forEach(
            result ->
                System.out.println(
                    "seed " + result.seed + ": " + result.failure + "\n" + result.trace));
  }

  private static String describe(String name, int count, List<Result> failures) {
    return failures.size()
        + " of "
        + count
        + " histories of "
        + name
        + " failed; reproduce one with -Dhistories.seed=N: "
        + failures.stream()
            .limit(MAX_LISTED_FAILURES)
            .map(result -> "\nseed " + result.seed + ": " + result.failure)
            .reduce("", String::concat);
  }

  private static Result run(long seed, LongFunction<Seeded> history) {
    Seeded seeded = history.apply(seed);
    String failure;
    try {
      failure = seeded.play();
    } catch (RuntimeException | AssertionError e) {
      failure =
          e
              + Arrays.stream(e.getStackTrace())
                  .limit(MAX_STACK_FRAMES)
                  .map(frame -> "\n    at " + frame)
                  .reduce("", String::concat);
    }
    String trace = failure == null && !isSingle() ? "" : seeded.trace();
    return new Result(seed, failure, trace, seeded.sums());
  }
}
