package tillerlink.faultinjection.play;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Cuts a schedule that fails down to one that still does: by halves, then by smaller parts, in a
 * bound of tries.
 */
public final class Cutter {
  private Cutter() {}

  /**
   * The shortest it could find.
   *
   * @param fails plays a schedule and tells whether it fails likewise
   * @param tries how many plays it may take
   */
  public static Schedule cut(Schedule failing, Predicate<Schedule> fails, int tries) {
    return failing.with(cut(failing.steps(), steps -> fails.test(failing.with(steps)), tries));
  }

  /** The same for the steps of any schedule. */
  public static <S> List<S> cut(List<S> failing, Predicate<List<S>> fails, int tries) {
    List<S> best = failing;
    int left = tries;
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
