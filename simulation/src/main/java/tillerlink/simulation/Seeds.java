package tillerlink.simulation;

import java.util.Arrays;
import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;

/**
 * Plays seeded histories that share nothing, several at once, and tells what came of them in the
 * order of their seeds: the same seeds give the same words, on however many cores. {@code
 * -Dhistories.seed=N} plays that one alone and prints its trace, {@code -Dhistories.count=N} plays
 * another number, {@code -Dhistories.first=N} begins elsewhere.
 */
public final class Seeds {
  private static final long ONE = Long.getLong("histories.seed", -1);
  private static final int TRACES_MOST = 3;
  private static final int NAMED_MOST = 20;

  /** One history, made from its seed; nothing of it is static. */
  public interface Seeded {
    /** Plays it once; what was wrong, or null. Errors thrown count as wrong too. */
    String play();

    /** What befell it so far, for people. */
    String trace();

    /** What is summed up over all histories, the same number of sums for each. */
    long[] sums();
  }

  private record Came(long seed, String wrong, String trace, long[] sums) {}

  private Seeds() {}

  /**
   * Plays that many.
   *
   * @param what how to name them when one fails, with the words to play it again by
   * @param usually how many, if nothing else is told
   * @return how many were played, and then the sums over them
   * @throws AssertionError if any went wrong: it names the seeds, and the traces of the first few
   *     are printed
   */
  public static long[] play(String what, int usually, LongFunction<Seeded> history) {
    long first = ONE >= 0 ? ONE : Long.getLong("histories.first", 1);
    int many = ONE >= 0 ? 1 : Integer.getInteger("histories.count", usually);
    List<Came> all =
        LongStream.range(first, first + many)
            .parallel()
            .mapToObj(seed -> one(seed, history))
            .toList();
    List<Came> wrong = all.stream().filter(came -> came.wrong != null).toList();
    all.stream().filter(came -> ONE >= 0).forEach(came -> System.out.println(came.trace));
    wrong.stream()
        .filter(came -> ONE < 0)
        .limit(TRACES_MOST)
        .forEach(
            came ->
                System.out.println("seed " + came.seed + ": " + came.wrong + "\n" + came.trace));
    if (!wrong.isEmpty()) {
      throw new AssertionError(
          wrong.size()
              + " of "
              + many
              + " histories of "
              + what
              + " went wrong; play one"
              + " again by -Dhistories.seed=N: "
              + wrong.stream()
                  .limit(NAMED_MOST)
                  .map(came -> "\nseed " + came.seed + ": " + came.wrong)
                  .reduce("", String::concat));
    }
    long[] sums = new long[1 + all.get(0).sums.length];
    sums[0] = many;
    all.forEach(came -> Arrays.setAll(sums, i -> i == 0 ? sums[0] : sums[i] + came.sums[i - 1]));
    return sums;
  }

  private static Came one(long seed, LongFunction<Seeded> history) {
    Seeded seeded = history.apply(seed);
    String wrong;
    try {
      wrong = seeded.play();
    } catch (RuntimeException | AssertionError e) {
      wrong =
          e
              + Arrays.stream(e.getStackTrace())
                  .limit(4)
                  .map(at -> "\n    at " + at)
                  .reduce("", String::concat);
    }
    return new Came(seed, wrong, wrong == null && ONE < 0 ? "" : seeded.trace(), seeded.sums());
  }
}
