package tillerlink.explore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Explores, breadth first, all histories with at most a given number of injected faults
 * (deviations). At every point after the last deviation of a history, each possible choice is
 * tried. A history is replayed from its deviations. Of histories with the same events only the
 * first is expanded.
 */
public final class Explorer {
  /**
   * The result of an exploration.
   *
   * @param histories the number of histories that were played
   * @param distinct the number of histories with different events
   * @param deviations the greatest number of deviations in a history
   * @param complete whether all histories were played
   * @param violation the first history that violates a rule, or null
   */
  public record Result(
      long histories, long distinct, int deviations, boolean complete, History violation) {}

  /** Receives the progress of an exploration. */
  @FunctionalInterface
  public interface Progress {
    /** Called after every thousand histories. */
    void at(long histories, long distinct, int deviations);
  }

  private static final double NANOS_PER_MINUTE = 60e9;
  private static final int HISTORIES_PER_PROGRESS = 1000;

  private final HistoryPlayer player;
  private final int maxDeviations;
  private final long maxNanos;

  /**
   * Creates an exploration.
   *
   * @param maxDeviations the maximum number of deviations in a history
   * @param minutes the time after which the exploration ends
   */
  public Explorer(HistoryPlayer player, int maxDeviations, double minutes) {
    this.player = player;
    this.maxDeviations = maxDeviations;
    maxNanos = (long) (minutes * NANOS_PER_MINUTE);
  }

  /**
   * Runs the exploration until all histories were played, one violates a rule, or the time limit is
   * reached.
   */
  public Result explore(Progress progress) {
    long deadline = System.nanoTime() + maxNanos;
    ArrayDeque<List<int[]>> pending = new ArrayDeque<>();
    pending.add(List.of());
    Set<Integer> seen = new HashSet<>();
    long histories = 0;
    int depth = 0;
    while (!pending.isEmpty()) {
      if (System.nanoTime() > deadline) {
        return new Result(histories, seen.size(), depth, false, null);
      }
      List<int[]> deviations = pending.poll();
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
        expand(history, pending);
      }
    }
    return new Result(histories, seen.size(), depth, true, null);
  }

  private static void expand(History history, ArrayDeque<List<int[]>> pending) {
    List<int[]> before = history.deviations();
    int from = before.isEmpty() ? 0 : before.get(before.size() - 1)[0] + 1;
    for (int point = from; point < history.options().length; point++) {
      for (int choice = 1; choice < history.options()[point]; choice++) {
        List<int[]> next = new ArrayList<>(before);
        next.add(new int[] {point, choice});
        pending.add(next);
      }
    }
  }
}
