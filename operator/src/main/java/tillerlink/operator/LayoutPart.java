package tillerlink.operator;

import static tillerlink.operator.RowTests.column;

import java.util.ArrayList;
import java.util.List;
import tillerlink.trace.Layout;

/** The parts <code>layout</code>: how rows of traces look. */
final class LayoutPart {
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
    String delimiter = section.text("delimiter", ",");
    if (delimiter.length() != 1 || "\"\n\r".contains(delimiter) || delimiter.charAt(0) > 126) {
      section.faultAt("delimiter", "'delimiter' is not one plain character");
      delimiter = ",";
    }
    Section pairs = section.one("pairs");
    Layout.Pairing pairing = null;
    if (pairs != null) {
      pairing =
          new Layout.Pairing(
              column(pairs, columns, "column", true),
              pairs.texts("starts", true),
              pairs.texts("ends", true),
              pairs.texts("breaks", false));
      pairs.close();
    }
    Layout layout =
        new Layout(
            name,
            delimiter.charAt(0),
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
}
