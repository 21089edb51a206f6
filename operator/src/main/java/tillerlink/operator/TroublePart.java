package tillerlink.operator;

import java.util.ArrayList;
import java.util.List;
import tillerlink.fleet.ScheduledFault;

/** The blocks <code>trouble</code>. */
final class TroublePart {
  private TroublePart() {}

  static List<ScheduledFault> read(Section all) {
    List<ScheduledFault> troubles = new ArrayList<>();
    for (Section section : all.all("trouble")) {
      ScheduledFault.What what = section.choice("what", null, ScheduledFault.What.class);
      troubles.add(
          new ScheduledFault(
              Math.round(section.number("at_s", 0, 1e7, Units.REQUIRED) * Units.TENTHS_PER_S),
              what,
              section.text("whom", null),
              Math.round(section.number("lasts_s", 0, 1e7, 2) * Units.TENTHS_PER_S),
              section.number("factor", 1, 1e6, what == ScheduledFault.What.SLOW ? 4 : 1)));
      section.close();
    }
    return troubles;
  }
}
