package tillerlink.operator;

import static tillerlink.operator.RowTests.column;

import java.util.ArrayList;
import java.util.List;
import tillerlink.trace.Layout;

/** The blocks <code>layout</code>: how the rows of traces are read. */
final class LayoutPart {
  private static final String DEFAULT_DELIMITER = ",";
  private static final char LAST_PRINTABLE = 126;

  private LayoutPart() {}

  static List<Layout> read(Section all) {
    List<Layout> layouts = new ArrayList<>();
    for (Section section : all.all("layout")) {
      Layout layout = layout(section);
      if (Layout.KNOWN.stream().anyMatch(known -> known.name().equals(layout.name()))
          || layouts.stream().anyMatch(other -> other.name().equals(layout.name()))) {
        section.fault("a layout '" + layout.name() + "' is there already");
      }
      layouts.add(layout);
    }
    return layouts;
  }

  private enum TimeUnit {
    US(1e-2),
    MS(Units.TENTHS_PER_MS),
    S(Units.TENTHS_PER_S);

    private final double tenths;

    TimeUnit(double tenths) {
      this.tenths = tenths;
    }
  }

  private static Layout layout(Section section) {
    String name = section.label();
    boolean header = section.flag("header", false);
    List<String> columns = section.texts("columns", !header);
    char delimiter = delimiter(section);
    Layout.Pairing pairing = pairing(section, columns);
    Layout layout =
        new Layout(
            name,
            delimiter,
            header,
            columns,
            section.choice("time_unit", TimeUnit.S, TimeUnit.class).tenths,
            column(section, columns, "start", true),
            column(section, columns, "end", pairing == null),
            column(section, columns, "cores", false),
            section.number("cores_unit", 1e-9, 1e9, 1),
            column(section, columns, "memory", false),
            column(section, columns, "job", true),
            column(section, columns, "task", pairing != null),
            column(section, columns, "owner", false),
            column(section, columns, "copies", false),
            pairing,
            RowTests.read(section, "only", columns),
            section.number("unknown_time", 0, Double.MAX_VALUE, Double.MAX_VALUE));
    if (pairing != null && layout.end() != null) {
      section.faultAt("end", "'end' has no meaning where rows are paired");
    }
    section.close();
    return layout;
  }

  private static char delimiter(Section section) {
    String given = section.text("delimiter", DEFAULT_DELIMITER);
    if (given.length() != 1 || "\"\n\r".contains(given) || given.charAt(0) > LAST_PRINTABLE) {
      section.faultAt("delimiter", "'delimiter' is not one plain character");
      given = DEFAULT_DELIMITER;
    }
    return given.charAt(0);
  }

  /** How start rows and end rows are paired, or null. */
  private static Layout.Pairing pairing(Section section, List<String> columns) {
    Section pairs = section.one("pairs");
    if (pairs == null) {
      return null;
    }
    Layout.Pairing pairing =
        new Layout.Pairing(
            column(pairs, columns, "column", true),
            pairs.texts("starts", true),
            pairs.texts("ends", true),
            pairs.texts("breaks", false));
    pairs.close();
    return pairing;
  }
}
