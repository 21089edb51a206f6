package tillerlink.operator;

import java.util.ArrayList;
import java.util.List;
import tillerlink.model.Effect;
import tillerlink.workload.RequestClassSpec;

/** Reader of the blocks {@code track}: the request classes. */
final class RequestClassPart {
  private RequestClassPart() {}

  /** Returns the request classes in the order of the file. */
  static List<RequestClassSpec> read(Section root) {
    List<RequestClassSpec> requestClasses = new ArrayList<>();
    for (Section section : root.blocks("track")) {
      String name = readName(section, requestClasses);
      Effect effect = section.choice("effect", null, Effect.class);
      long latencyObjective = readMilliseconds(section, "soft_limit_ms");
      long deadline = readMilliseconds(section, "hard_stop_ms");
      if (deadline < latencyObjective) {
        section.errorAt("hard_stop_ms", "'hard_stop_ms' is below 'soft_limit_ms'");
      }
      double value = section.number("payoff", 1e-6, 1e9, 1);
      requestClasses.add(
          new RequestClassSpec(
              name,
              effect,
              (int) section.integer("threads", 1, 1024, 1),
              latencyObjective,
              deadline,
              value,
              section.number("late_payoff", 0, value, 0),
              section.strings("kinds", false),
              readKeyWindow(section, effect, deadline),
              section.number("median_work_ms", 0.1, 1e7, Units.REQUIRED) * Units.TENTHS_PER_MS,
              RowTests.read(section, "rows", List.of())));
      section.reportUnknown();
    }
    return requestClasses;
  }

  /** Returns the name of a request class, which must be valid and unique. */
  private static String readName(Section section, List<RequestClassSpec> previous) {
    String name = section.label();
    if (!name.matches("[A-Za-z0-9_-]{1,32}")) {
      section.error(
          "invalid track name '" + name + "': expected 1 to 32 letters, digits, '-' or '_'");
    }
    if (previous.stream().anyMatch(requestClass -> requestClass.name().equals(name))) {
      section.error("duplicate track '" + name + "'");
    }
    return name;
  }

  /**
   * Reads a required time in milliseconds.
   *
   * @return tenths of a millisecond
   */
  private static long readMilliseconds(Section section, String name) {
    return Math.round(section.number(name, 1, 1e7, Units.REQUIRED) * Units.TENTHS_PER_MS);
  }

  /**
   * Reads how long engines remember an idempotency key. The default is the deadline for request
   * classes that are deduplicated by key, otherwise 0.
   *
   * @param deadline tenths of a millisecond
   * @return tenths of a millisecond
   */
  private static long readKeyWindow(Section section, Effect effect, long deadline) {
    double defaultValue = effect == Effect.RECEIPTED ? deadline / Units.TENTHS_PER_MS : 0;
    return Math.round(section.number("mark_kept_ms", 0, 1e8, defaultValue) * Units.TENTHS_PER_MS);
  }
}
