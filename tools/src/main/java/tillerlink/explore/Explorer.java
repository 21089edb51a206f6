package tillerlink.explore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Explores all histories in which at most so many things go otherwise than usual, fewest first:
 * each point of a history at which something may is tried in every way, behind those that went
 * otherwise before. A history is rebuilt from its deviations. Two whose people would read the same
 * are one: only the first is gone on from.
 */
public final class Explorer {
  /**
   * How many histories, how many that differ, how deep, whether all were played, and the first
   * wrong one.
   */
  public record Found(long histories, long distinct, int deviations, boolean closed, Story wrong) {}

  /** Told how far it is. */
  @FunctionalInterface
  public interface Progress {
    void at(long histories, long distinct, int deviations);
  }

  private static final int TELL_EVERY = 1000;

  private final Player player;
  private final int deviationsMost;
  private final long nanosMost;

  public Explorer(Player player, int deviationsMost, double minutes) {
    this.player = player;
    this.deviationsMost = deviationsMost;
    nanosMost = (long) (minutes * 60e9);
  }

  public Found explore(Progress progress) {
    long until = System.nanoTime() + nanosMost;
    ArrayDeque<List<int[]>> waiting = new ArrayDeque<>();
    waiting.add(List.of());
    Set<Integer> seen = new HashSet<>();
    long histories = 0;
    int depth = 0;
    while (!waiting.isEmpty()) {
      if (System.nanoTime() > until) {
        return new Found(histories, seen.size(), depth, false, null);
      }
      List<int[]> deviations = waiting.poll();
      Story story = player.play(deviations);
      histories++;
      depth = Math.max(depth, deviations.size());
      if (!story.wrong().isEmpty()) {
        return new Found(histories, seen.size(), depth, false, story);
      }
      if (histories % TELL_EVERY == 0) {
        progress.at(histories, seen.size(), depth);
      }
      if (seen.add(story.told().hashCode()) && deviations.size() < deviationsMost) {
        goOn(story, waiting);
      }
    }
    return new Found(histories, seen.size(), depth, true, null);
  }

  private static void goOn(Story story, ArrayDeque<List<int[]>> waiting) {
    List<int[]> before = story.deviations();
    int from = before.isEmpty() ? 0 : before.get(before.size() - 1)[0] + 1;
    for (int point = from; point < story.options().length; point++) {
      for (int way = 1; way < story.options()[point]; way++) {
        List<int[]> next = new ArrayList<>(before);
        next.add(new int[] {point, way});
        waiting.add(next);
      }
    }
  }
}
