package tillerlink.simulation;

import java.util.Arrays;
import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;

/**
 * Runs seeded random histories that share no state, several in parallel, and reports them in the
 * order of their seeds, so that the report does not depend on the number of cores. {@code
 * -Dhistories.seed=N} runs one seed and prints its trace, {@code -Dhistories.count=N} runs another
 * number of seeds, {@code -Dhistories.first=N} starts at another seed.
 */
public final class Seeds {
  private static final int ALL_SEEDS = -1;
  private static final long SINGLE_SEED = Long.getLong("histories.seed", ALL_SEEDS);
  private static final int MAX_TRACES = 3;
  private static final int MAX_LISTED_FAILURES = 20;
  private static final int MAX_STACK_FRAMES = 4;

  /** One history, made from its seed; it shares no state with others. */
  public interface Seeded {
    /**
     * Runs the history once. An exception or error counts as a failure, too.
     *
     * @return what went wrong, or null
     */
    String play();

    /** A readable account of what happened so far. */
    String trace();

    /** Figures to be added up over all histories, the same number for each. */
    long[] sums();
  }

  private record Result(long seed, String failure, String trace, long[] sums) {}

  private Seeds() {}

  /**
   * Runs histories of successive seeds.
   *
   * @param name what the histories are of, for the message of a failure
   * @param defaultCount how many to run, unless a system property says otherwise
   * @param history makes the history of a seed
   * @return the number of histories, followed by the sums over all of them
   * @throws AssertionError if any failed: it names the seeds, and the traces of the first few are
   *     printed
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
        + " went wrong; play one again by -Dhistories.seed=N: "
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
