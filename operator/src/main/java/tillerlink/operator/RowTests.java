package tillerlink.operator;

import java.util.ArrayList;
import java.util.List;
import tillerlink.trace.Layout;

/** Tests on rows of a trace, and the columns that they name. */
final class RowTests {
  private RowTests() {}

  /** A column by its name, or by its place from 1 on. */
  static String column(Section section, List<String> columns, String name, boolean wanted) {
    String given = wanted ? section.text(name, null) : section.textOrNull(name);
    if (given == null || given.isEmpty()) {
      return given;
    }
    if (given.matches("[0-9]{1,3}") && !columns.contains(given)) {
      int place = Integer.parseInt(given);
      if (place < 1 || place > columns.size()) {
        section.faultAt(name, "there is no column " + place);
        return columns.isEmpty() ? given : columns.get(0);
      }
      return columns.get(place - 1);
    }
    if (!columns.isEmpty() && !columns.contains(given)) {
      section.faultAt(name, "there is no column '" + given + "'");
    }
    return given;
  }

  static List<Layout.Test> read(Section section, String type, List<String> columns) {
    List<Layout.Test> tests = new ArrayList<>();
    for (Section test : section.all(type)) {
      String name = column(test, columns, "column", true);
      boolean byText = test.has("in") || test.has("not_in");
      boolean byNumber = test.has("least") || test.has("most");
      List<String> in = test.texts("in", false);
      List<String> notIn = test.texts("not_in", false);
      double least = test.number("least", -1e300, 1e300, -1e300);
      double most = test.number("most", -1e300, 1e300, 1e300);
      if (byText == byNumber || !in.isEmpty() && !notIn.isEmpty()) {
        test.fault("a test wants one of: in, not_in, or least and most");
      } else if (byNumber && least > most) {
        test.fault("'least' is above 'most'");
      }
      tests.add(
          byText
              ? new Layout.Test(
                  name, in.isEmpty() ? notIn : in, in.isEmpty(), Units.NONE, Units.NONE)
              : Layout.Test.between(name, least, most));
      test.close();
    }
    return tests;
  }
}
