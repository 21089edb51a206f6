package tillerlink.faultinjection.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Shrinks a schedule that fails to a shorter one that still does, by delta debugging: it removes
 * halves, then smaller parts, within a limit of attempts.
 */
public final class ScheduleShrinker {
  private ScheduleShrinker() {}

  /**
   * Returns the shortest failing schedule that it finds.
   *
   * @param fails runs a schedule and returns whether it fails in the same way
   * @param attempts the greatest number of runs
   */
  public static Schedule shrink(Schedule failing, Predicate<Schedule> fails, int attempts) {
    return failing.with(
        shrink(failing.steps(), steps -> fails.test(failing.with(steps)), attempts));
  }

  /** The same for any list of steps. */
  public static <S> List<S> shrink(List<S> failing, Predicate<List<S>> fails, int attempts) {
    List<S> best = failing;
    int left = attempts;
    for (int parts = 2; left > 0 && !best.isEmpty(); ) {
      int size = Math.max(1, (best.size() + parts - 1) / parts);
      List<S> shorter = null;
      for (int from = 0; from < best.size() && shorter == null && left > 0; from += size) {
        List<S> rest = new ArrayList<>(best);
        rest.subList(from, Math.min(rest.size(), from + size)).clear();
        left--;
        if (fails.test(rest)) {
          shorter = rest;
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
