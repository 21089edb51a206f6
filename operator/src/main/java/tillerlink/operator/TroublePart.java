package tillerlink.operator;

import java.util.ArrayList;
import java.util.List;
import tillerlink.fleet.ScheduledFault;

/** Reader of the blocks {@code trouble}: the faults and operations of a replay. */
final class TroublePart {
  private TroublePart() {}

  /** Returns the faults in the order of the file. */
  static List<ScheduledFault> read(Section root) {
    List<ScheduledFault> troubles = new ArrayList<>();
    for (Section section : root.blocks("trouble")) {
      ScheduledFault.What what = section.choice("what", null, ScheduledFault.What.class);
      troubles.add(
          new ScheduledFault(
              Math.round(section.number("at_s", 0, 1e7, Units.REQUIRED) * Units.TENTHS_PER_S),
              what,
              section.string("whom", null),
              Math.round(section.number("lasts_s", 0, 1e7, 2) * Units.TENTHS_PER_S),
              section.number("factor", 1, 1e6, what == ScheduledFault.What.SLOW ? 4 : 1)));
      section.reportUnknown();
    }
    return troubles;
  }
}
