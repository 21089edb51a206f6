package tillerlink.explore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Explores, breadth first, all histories with at most a given number of faults (deviations). Every
 * choice at every point after the last deviation is tried. A history is rebuilt from its
 * deviations. Of histories with the same events only the first is expanded.
 */
public final class Explorer {
  /**
   * The result of an exploration.
   *
   * @param distinct how many histories have different events
   * @param deviations the greatest number of deviations in a history
   * @param complete whether all histories were played
   * @param violation the first history that violates a rule, or null
   */
  public record Result(
      long histories, long distinct, int deviations, boolean complete, History violation) {}

  /** Receives progress. */
  @FunctionalInterface
  public interface Progress {
    /** Called from time to time. */
    void at(long histories, long distinct, int deviations);
  }

  private static final double NANOS_PER_MINUTE = 60e9;
  private static final int HISTORIES_PER_PROGRESS = 1000;

  private final HistoryPlayer player;
  private final int maxDeviations;
  private final long maxNanos;

  /** An exploration that ends after that time. */
  public Explorer(HistoryPlayer player, int maxDeviations, double minutes) {
    this.player = player;
    this.maxDeviations = maxDeviations;
    maxNanos = (long) (minutes * NANOS_PER_MINUTE);
  }

  /** Runs the exploration. */
  public Result explore(Progress progress) {
    long deadline = System.nanoTime() + maxNanos;
    ArrayDeque<List<int[]>> waiting = new ArrayDeque<>();
    waiting.add(List.of());
    Set<Integer> seen = new HashSet<>();
    long histories = 0;
    int depth = 0;
    while (!waiting.isEmpty()) {
      if (System.nanoTime() > deadline) {
        return new Result(histories, seen.size(), depth, false, null);
      }
      List<int[]> deviations = waiting.poll();
      History history = player.play(deviations);
      histories++;
      depth = Math.max(depth, deviations.size());
      if (!history.violations().isEmpty()) {
        return new Result(histories, seen.size(), depth, false, history);
      }
      if (histories % HISTORIES_PER_PROGRESS == 0) {
        progress.at(histories, seen.size(), depth);
      }
      if (seen.add(history.events().hashCode()) && deviations.size() < maxDeviations) {
        expand(history, waiting);
      }
    }
    return new Result(histories, seen.size(), depth, true, null);
  }

  private static void expand(History history, ArrayDeque<List<int[]>> waiting) {
    List<int[]> before = history.deviations();
    int from = before.isEmpty() ? 0 : before.get(before.size() - 1)[0] + 1;
    for (int point = from; point < history.options().length; point++) {
      for (int choice = 1; choice < history.options()[point]; choice++) {
        List<int[]> next = new ArrayList<>(before);
        next.add(new int[] {point, choice});
        waiting.add(next);
      }
    }
  }
}
