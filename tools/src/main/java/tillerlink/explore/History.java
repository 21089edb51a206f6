package tillerlink.explore;

import java.util.List;

/**
 * A history that was played.
 *
 * @param deviations the injected faults in their order, each as the index of its point and the
 *     choice there
 * @param events the events, as a readable line each
 * @param violations the rules that were violated, with a description each
 * @param options the number of choices at each point
 */
public record History(
    List<int[]> deviations, List<String> events, List<String> violations, int[] options) {}
