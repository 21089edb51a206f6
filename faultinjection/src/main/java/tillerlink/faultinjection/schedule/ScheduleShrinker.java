package tillerlink.faultinjection.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Shrinks a failing schedule to a shorter one that still fails, by delta debugging: it removes
 * halves of the steps, then smaller parts, within a limit of runs.
 */
public final class ScheduleShrinker {
  private ScheduleShrinker() {}

  /**
   * Returns the shortest failing schedule that is found.
   *
   * @param fails runs a schedule and returns whether it fails in the same way
   * @param maxRuns the maximum number of runs
   */
  public static Schedule shrink(Schedule failing, Predicate<Schedule> fails, int maxRuns) {
    return failing.with(shrink(failing.steps(), steps -> fails.test(failing.with(steps)), maxRuns));
  }

  /**
   * Returns the shortest failing list of steps that is found.
   *
   * @param fails runs a list of steps and returns whether it fails in the same way
   * @param maxRuns the maximum number of runs
   */
  public static <S> List<S> shrink(List<S> failing, Predicate<List<S>> fails, int maxRuns) {
    List<S> best = failing;
    int remainingRuns = maxRuns;
    for (int parts = 2; remainingRuns > 0 && !best.isEmpty(); ) {
      int size = Math.max(1, (best.size() + parts - 1) / parts);
      List<S> shorter = null;
      for (int from = 0; from < best.size() && shorter == null && remainingRuns > 0; from += size) {
        List<S> candidate = new ArrayList<>(best);
        candidate.subList(from, Math.min(candidate.size(), from + size)).clear();
        remainingRuns--;
        if (fails.test(candidate)) {
          shorter = candidate;
        }
      }
      if (shorter != null) {
        best = shorter;
        parts = Math.max(2, parts - 1);
      } else if (size == 1) {
        return best;
      } else {
        parts *= 2;
      }
    }
    return best;
  }
}
