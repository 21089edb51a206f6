package tillerlink.explore;

import java.util.List;

/**
 * One history: what went otherwise than usual, in its order, what was seen, and what was wrong with
 * it.
 *
 * @param deviations of each, the place of its point among all points, and which way was taken
 * @param told lines for people
 * @param wrong the properties that failed, or nothing
 * @param options of each point that was passed, how many ways it had
 */
public record Story(List<int[]> deviations, List<String> told, List<String> wrong, int[] options) {}
