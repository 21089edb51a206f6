package tillerlink.operator;

import static tillerlink.operator.RowTests.readColumn;

import java.util.ArrayList;
import java.util.List;
import tillerlink.trace.Layout;

/** Reader of the blocks {@code layout}: how the rows of traces are read. */
final class LayoutPart {
  private static final String DEFAULT_DELIMITER = ",";
  private static final char LAST_PRINTABLE = 126;

  private LayoutPart() {}

  /**
   * Reads all layouts of the file. The names of built-in layouts cannot be reused.
   *
   * @return the layouts in the order of the file
   */
  static List<Layout> read(Section root) {
    List<Layout> layouts = new ArrayList<>();
    for (Section section : root.blocks("layout")) {
      Layout layout = readLayout(section);
      if (Layout.KNOWN.stream().anyMatch(known -> known.name().equals(layout.name()))
          || layouts.stream().anyMatch(other -> other.name().equals(layout.name()))) {
        section.error("layout '" + layout.name() + "' is already defined");
      }
      layouts.add(layout);
    }
    return layouts;
  }

  /** The unit of the times in a trace. */
  private enum TimeUnit {
    US(1e-2),
    MS(Units.TENTHS_PER_MS),
    S(Units.TENTHS_PER_S);

    /** Tenths of a millisecond in the unit. */
    private final double tenths;

    TimeUnit(double tenths) {
      this.tenths = tenths;
    }
  }

  private static Layout readLayout(Section section) {
    String name = section.label();
    boolean header = section.flag("header", false);
    List<String> columns = section.strings("columns", !header);
    char delimiter = readDelimiter(section);
    Layout.Pairing pairing = readPairing(section, columns);
    Layout layout =
        new Layout(
            name,
            delimiter,
            header,
            columns,
            section.choice("time_unit", TimeUnit.S, TimeUnit.class).tenths,
            readColumn(section, columns, "start", true),
            readColumn(section, columns, "end", pairing == null),
            readColumn(section, columns, "cores", false),
            section.number("cores_unit", 1e-9, 1e9, 1),
            readColumn(section, columns, "memory", false),
            readColumn(section, columns, "job", true),
            readColumn(section, columns, "task", pairing != null),
            readColumn(section, columns, "owner", false),
            readColumn(section, columns, "copies", false),
            pairing,
            RowTests.read(section, "only", columns),
            section.number("unknown_time", 0, Double.MAX_VALUE, Double.MAX_VALUE));
    if (pairing != null && layout.end() != null) {
      section.errorAt("end", "'end' must be absent in a layout with a 'pairs' block");
    }
    section.reportUnknown();
    return layout;
  }

  /**
   * Reads the delimiter of columns.
   *
   * @return the default after an error
   */
  private static char readDelimiter(Section section) {
    String given = section.string("delimiter", DEFAULT_DELIMITER);
    if (given.length() != 1 || "\"\n\r".contains(given) || given.charAt(0) > LAST_PRINTABLE) {
      section.errorAt(
          "delimiter",
          "'delimiter' is '"
              + given
              + "', expected one ASCII character other than a quote or a line break");
      given = DEFAULT_DELIMITER;
    }
    return given.charAt(0);
  }

  /**
   * Reads how start rows and end rows are paired.
   *
   * @return null if each row is a whole task
   */
  private static Layout.Pairing readPairing(Section section, List<String> columns) {
    Section pairs = section.block("pairs");
    if (pairs == null) {
      return null;
    }
    Layout.Pairing pairing =
        new Layout.Pairing(
            readColumn(pairs, columns, "column", true),
            pairs.strings("starts", true),
            pairs.strings("ends", true),
            pairs.strings("breaks", false));
    pairs.reportUnknown();
    return pairing;
  }
}
