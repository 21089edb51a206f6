package tillerlink.operator;

import java.util.ArrayList;
import java.util.List;
import tillerlink.fleet.Trouble;

/** The blocks <code>trouble</code>. */
final class TroublePart {
  private TroublePart() {}

  static List<Trouble> read(Section all) {
    List<Trouble> troubles = new ArrayList<>();
    for (Section section : all.all("trouble")) {
      Trouble.What what = section.choice("what", null, Trouble.What.class);
      troubles.add(
          new Trouble(
              Math.round(section.number("at_s", 0, 1e7, Units.REQUIRED) * Units.TENTHS_PER_S),
              what,
              section.text("whom", null),
              Math.round(section.number("lasts_s", 0, 1e7, 2) * Units.TENTHS_PER_S),
              section.number("factor", 1, 1e6, what == Trouble.What.SLOW ? 4 : 1)));
      section.close();
    }
    return troubles;
  }
}
