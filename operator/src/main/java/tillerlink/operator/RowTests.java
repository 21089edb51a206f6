package tillerlink.operator;

import java.util.ArrayList;
import java.util.List;
import tillerlink.trace.Layout;

/** Reader of tests on the rows of a trace, and of the columns that they refer to. */
final class RowTests {
  private static final double UNBOUNDED = 1e300;

  private RowTests() {}

  /**
   * Reads a reference to a column, which is its name or its number counted from 1.
   *
   * @param columns the names of the columns; empty if only the header of the trace defines them
   * @return the name of the column; null if it is optional and absent
   */
  static String readColumn(Section section, List<String> columns, String name, boolean required) {
    String given = required ? section.string(name, null) : section.stringOrNull(name);
    if (given == null || given.isEmpty() || columns.contains(given)) {
      return given;
    }
    if (given.matches("[0-9]{1,3}")) {
      return columnAt(section, columns, name, given);
    }
    if (!columns.isEmpty()) {
      section.errorAt(name, "unknown column '" + given + "'");
    }
    return given;
  }

  /**
   * Returns the name of the column with a number.
   *
   * @param given the number as written, counted from 1
   * @return the first column after an error, or the number as written if there are no columns
   */
  private static String columnAt(Section section, List<String> columns, String name, String given) {
    int number = Integer.parseInt(given);
    if (number >= 1 && number <= columns.size()) {
      return columns.get(number - 1);
    }
    section.errorAt(
        name,
        "column " + number + " does not exist: 'columns' has " + columns.size() + " elements");
    return columns.isEmpty() ? given : columns.get(0);
  }

  /** Returns the tests of all blocks of a type, in the order of the file. */
  static List<Layout.Test> read(Section section, String type, List<String> columns) {
    List<Layout.Test> tests = new ArrayList<>();
    for (Section test : section.blocks(type)) {
      tests.add(readTest(test, columns));
      test.reportUnknown();
    }
    return tests;
  }

  private static Layout.Test readTest(Section test, List<String> columns) {
    String name = readColumn(test, columns, "column", true);
    boolean byValue = test.has("in") || test.has("not_in");
    boolean byNumber = test.has("least") || test.has("most");
    List<String> in = test.strings("in", false);
    List<String> notIn = test.strings("not_in", false);
    double min = test.number("least", -UNBOUNDED, UNBOUNDED, -UNBOUNDED);
    double max = test.number("most", -UNBOUNDED, UNBOUNDED, UNBOUNDED);
    boolean bothLists = !in.isEmpty() && !notIn.isEmpty();
    if (byValue == byNumber || bothLists) {
      test.error(
          "expected exactly one of 'in', 'not_in' or a range by 'least' and 'most' in " + test);
    } else if (byNumber && min > max) {
      test.error("'least' is greater than 'most'");
    }
    return byValue
        ? new Layout.Test(name, in.isEmpty() ? notIn : in, in.isEmpty(), Double.NaN, Double.NaN)
        : Layout.Test.between(name, min, max);
  }
}
