package tillerlink.explore;

import java.util.List;

/**
 * One history.
 *
 * @param deviations the faults in their order, each as the index of its point and the choice there
 * @param events what happened, a readable line each
 * @param violations the properties that failed
 * @param options the number of choices at each point
 */
public record History(
    List<int[]> deviations, List<String> events, List<String> violations, int[] options) {}
