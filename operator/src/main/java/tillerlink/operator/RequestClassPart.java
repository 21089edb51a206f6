package tillerlink.operator;

import java.util.ArrayList;
import java.util.List;
import tillerlink.model.Effect;
import tillerlink.workload.RequestClassSpec;

/** The parts <code>request class</code>. */
final class RequestClassPart {
  private RequestClassPart() {}

  static List<RequestClassSpec> read(Section all) {
    List<RequestClassSpec> requestClasses = new ArrayList<>();
    for (Section section : all.all("track")) {
      String name = section.label();
      if (!name.matches("[A-Za-z0-9_-]{1,32}")) {
        section.fault("a track's name is of letters, digits, - and _, 32 at most");
      }
      if (requestClasses.stream().anyMatch(requestClass -> requestClass.name().equals(name))) {
        section.fault("a second track '" + name + "'");
      }
      Effect effect = section.choice("effect", null, Effect.class);
      long soft =
          Math.round(section.number("soft_limit_ms", 1, 1e7, Units.NONE) * Units.TENTHS_PER_MS);
      long hard =
          Math.round(section.number("hard_stop_ms", 1, 1e7, Units.NONE) * Units.TENTHS_PER_MS);
      if (hard < soft) {
        section.faultAt("hard_stop_ms", "'hard_stop_ms' is below 'soft_limit_ms'");
      }
      double value = section.number("payoff", 1e-6, 1e9, 1);
      requestClasses.add(
          new RequestClassSpec(
              name,
              effect,
              (int) section.whole("threads", 1, 1024, 1),
              soft,
              hard,
              value,
              section.number("late_payoff", 0, value, 0),
              section.texts("kinds", false),
              Math.round(
                  section.number(
                          "mark_kept_ms",
                          0,
                          1e8,
                          effect == Effect.RECEIPTED ? hard / Units.TENTHS_PER_MS : 0)
                      * Units.TENTHS_PER_MS),
              section.number("median_work_ms", 0.1, 1e7, Units.NONE) * Units.TENTHS_PER_MS,
              RowTests.read(section, "rows", List.of())));
      section.close();
    }
    return requestClasses;
  }
}
