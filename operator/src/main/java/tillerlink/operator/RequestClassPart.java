package tillerlink.operator;

import java.util.ArrayList;
import java.util.List;
import tillerlink.model.Effect;
import tillerlink.workload.RequestClassSpec;

/** The blocks <code>track</code>: request classes. */
final class RequestClassPart {
  private RequestClassPart() {}

  static List<RequestClassSpec> read(Section all) {
    List<RequestClassSpec> requestClasses = new ArrayList<>();
    for (Section section : all.all("track")) {
      String name = name(section, requestClasses);
      Effect effect = section.choice("effect", null, Effect.class);
      long latencyObjective = milliseconds(section, "soft_limit_ms");
      long deadline = milliseconds(section, "hard_stop_ms");
      if (deadline < latencyObjective) {
        section.faultAt("hard_stop_ms", "'hard_stop_ms' is below 'soft_limit_ms'");
      }
      double value = section.number("payoff", 1e-6, 1e9, 1);
      requestClasses.add(
          new RequestClassSpec(
              name,
              effect,
              (int) section.whole("threads", 1, 1024, 1),
              latencyObjective,
              deadline,
              value,
              section.number("late_payoff", 0, value, 0),
              section.texts("kinds", false),
              keyWindow(section, effect, deadline),
              section.number("median_work_ms", 0.1, 1e7, Units.REQUIRED) * Units.TENTHS_PER_MS,
              RowTests.read(section, "rows", List.of())));
      section.close();
    }
    return requestClasses;
  }

  private static String name(Section section, List<RequestClassSpec> before) {
    String name = section.label();
    if (!name.matches("[A-Za-z0-9_-]{1,32}")) {
      section.fault("a track's name is of letters, digits, - and _, 32 at most");
    }
    if (before.stream().anyMatch(requestClass -> requestClass.name().equals(name))) {
      section.fault("a second track '" + name + "'");
    }
    return name;
  }

  private static long milliseconds(Section section, String name) {
    return Math.round(section.number(name, 1, 1e7, Units.REQUIRED) * Units.TENTHS_PER_MS);
  }

  /** How long engines remember an idempotency key. */
  private static long keyWindow(Section section, Effect effect, long deadline) {
    double otherwise = effect == Effect.RECEIPTED ? deadline / Units.TENTHS_PER_MS : 0;
    return Math.round(section.number("mark_kept_ms", 0, 1e8, otherwise) * Units.TENTHS_PER_MS);
  }
}
