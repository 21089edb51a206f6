package tillerlink.operator;

import java.util.ArrayList;
import java.util.List;
import tillerlink.trace.Layout;

/** Tests on the rows of a trace, and the columns that they refer to. */
final class RowTests {
  private static final double UNBOUNDED = 1e300;

  private RowTests() {}

  /** A column, which the file gives by its name or by its place from 1 on. */
  static String column(Section section, List<String> columns, String name, boolean required) {
    String given = required ? section.text(name, null) : section.textOrNull(name);
    if (given == null || given.isEmpty() || columns.contains(given)) {
      return given;
    }
    if (given.matches("[0-9]{1,3}")) {
      return columnAt(section, columns, name, given);
    }
    if (!columns.isEmpty()) {
      section.faultAt(name, "there is no column '" + given + "'");
    }
    return given;
  }

  private static String columnAt(Section section, List<String> columns, String name, String given) {
    int place = Integer.parseInt(given);
    if (place >= 1 && place <= columns.size()) {
      return columns.get(place - 1);
    }
    section.faultAt(name, "there is no column " + place);
    return columns.isEmpty() ? given : columns.get(0);
  }

  static List<Layout.Test> read(Section section, String type, List<String> columns) {
    List<Layout.Test> tests = new ArrayList<>();
    for (Section test : section.all(type)) {
      tests.add(test(test, columns));
      test.close();
    }
    return tests;
  }

  private static Layout.Test test(Section test, List<String> columns) {
    String name = column(test, columns, "column", true);
    boolean byText = test.has("in") || test.has("not_in");
    boolean byNumber = test.has("least") || test.has("most");
    List<String> in = test.texts("in", false);
    List<String> notIn = test.texts("not_in", false);
    double min = test.number("least", -UNBOUNDED, UNBOUNDED, -UNBOUNDED);
    double max = test.number("most", -UNBOUNDED, UNBOUNDED, UNBOUNDED);
    boolean bothTexts = !in.isEmpty() && !notIn.isEmpty();
    if (byText == byNumber || bothTexts) {
      test.fault("a test wants one of: in, not_in, or least and most");
    } else if (byNumber && min > max) {
      test.fault("'least' is above 'most'");
    }
    return byText
        ? new Layout.Test(name, in.isEmpty() ? notIn : in, in.isEmpty(), Double.NaN, Double.NaN)
        : Layout.Test.between(name, min, max);
  }
}
