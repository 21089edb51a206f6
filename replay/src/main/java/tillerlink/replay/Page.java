package tillerlink.replay;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tillerlink.audit.Violation;

/**
 * One page with the figures of a replay and plots of it, in a file of its own that needs nothing
 * beside it.
 */
public final class Page {
  private static final int WIDE = 860;
  private static final int HIGH = 180;
  private static final int LEFT = 56;
  private static final int BELOW = 24;
  private static final double[] PERCENTILES = {0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9};
  private static final String[] COLOURS = {
    "#9aa4b2", "#2b6cb0", "#dd6b20", "#c53030", "#6b46c1", "#2f855a", "#1a202c"
  };

  /** A line of a plot: one figure for each bin. */
  private record Line(String name, double[] values) {}

  private final Played run;
  private final PrintWriter out;

  private Page(Played run, PrintWriter out) {
    this.run = run;
    this.out = out;
  }

  public static void write(Played run, Path file) throws IOException {
    try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(file))) {
      new Page(run, out).all();
      if (out.checkError()) {
        throw new IOException(file + " can't be written");
      }
    }
  }

  private void all() {
    Figures figures = run.figures();
    out.println(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Replay</title><style>"
            + "body{font:14px sans-serif;max-width:"
            + (WIDE + 80)
            + "px;margin:2em auto}table{border-collapse:collapse}td,th{padding:2px"
            + " 10px;text-align:right}th:first-child,td:first-child{text-align:left}"
            + "svg{display:block}.bad{color:#c53030}</style>");
    out.printf(
        Locale.ROOT,
        "<h1>Replay of a %s trace, %s</h1>",
        escaped(run.job().layout().name()),
        escaped(run.job().policyName()));
    out.printf(
        Locale.ROOT,
        "<p>Served <b>%.4f</b> of the value asked for, %.4f in the worst 10 s (from %.0f s), %.4f"
            + " on the worst track. %d gateways, %d emulated engines with %.0f cores, %.1f s.</p>",
        figures.whole(),
        figures.worstWindow(),
        figures.worstWindowFrom() / (double) Figures.SECOND,
        figures.worstRequestClass(),
        run.job().fleet().gateways(),
        run.job().fleet().engines().size(),
        run.job().fleet().cores(),
        run.lasted() / (double) Figures.SECOND);
    for (Violation violation : run.auditor().violations()) {
      out.printf(
          "<p class=\"bad\">Rule broken: %s s, %s</p>",
          run.sinceStart(violation.at()), escaped(violation.what()));
    }
    table();
    bySecond();
    byRequestClass();
    engines();
    troubles();
    out.println("</html>");
  }

  private static String escaped(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
  }

  private void table() {
    out.print(
        "<h2>By track</h2><table><tr><th>track<th>arrived<th>in time<th>late<th>turned"
            + " back<th>broken off<th>gone<th>killed<th>half, ms<th>99 of 100, ms");
    for (Figures.OfRequestClass of : run.figures().requestClasses()) {
      out.printf(
          Locale.ROOT,
          "<tr><td>%s<td>%d<td>%.4f<td>%d<td>%d<td>%d<td>%d<td>%d<td>%.1f<td>%.1f",
          escaped(of.requestClass().name()),
          of.arrived(),
          of.served(),
          of.ended(End.LATE),
          of.ended(End.TURNED_BACK),
          of.ended(End.BROKEN_OFF),
          of.ended(End.CLIENT_GONE),
          of.ended(End.KILLED),
          of.timeMs(50),
          of.timeMs(99));
    }
    out.println("</table>");
  }

  private void bySecond() {
    Series series = run.figures().series();
    List<Line> lines = new ArrayList<>();
    lines.add(new Line("arrived", values(series, 0)));
    for (End how : End.values()) {
      if (run.figures().ended(how) > 0) {
        lines.add(
            new Line(
                how.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                values(series, 1 + how.ordinal())));
      }
    }
    plot(
        "Submissions a second, by when they arrived",
        lines,
        series.bins() * series.span() / (double) Figures.SECOND,
        "s");
  }

  private static double[] values(Series series, int kind) {
    double[] values = new double[series.bins()];
    for (int i = 0; i < values.length; i++) {
      values[i] = series.count(kind, i) * (double) Figures.SECOND / series.span();
    }
    return values;
  }

  private void byRequestClass() {
    List<Line> lines = new ArrayList<>();
    for (Figures.OfRequestClass of : run.figures().requestClasses()) {
      double[] values = new double[PERCENTILES.length];
      for (int i = 0; i < values.length; i++) {
        double ms = of.timeMs(PERCENTILES[i]);
        values[i] = Double.isNaN(ms) ? 0 : ms;
      }
      lines.add(new Line(of.requestClass().name(), values));
    }
    plot(
        "Milliseconds to the answer: 0, 10, 25, 50, 75, 90, 95, 99, 99.5 and 99.9 of 100",
        lines,
        0,
        "");
  }

  private void engines() {
    out.print("<h2>Cores given out, as a share, by engine</h2><table>");
    for (Map.Entry<String, Double> engine : run.cluster().utilization(run.lasted()).entrySet()) {
      out.printf(
          Locale.ROOT,
          "<tr><td>%s<td>%.3f<td><svg width=\"300\" height=\"10\"><rect width=\"%.0f\" "
              + "height=\"10\" fill=\"%s\"/></svg>",
          escaped(engine.getKey()),
          engine.getValue(),
          300 * Math.min(1, engine.getValue()),
          COLOURS[1]);
    }
    out.println("</table>");
  }

  private void troubles() {
    if (!run.cluster().incidents().isEmpty()) {
      out.print("<h2>What happened</h2><pre>");
      run.cluster().incidents().forEach(line -> out.println(escaped(line)));
      out.println("</pre>");
    }
  }

  private void plot(String title, List<Line> lines, double end, String unit) {
    double most = 1e-9;
    for (Line line : lines) {
      for (double value : line.values) {
        most = Math.max(most, value);
      }
    }
    out.printf("<h2>%s</h2><svg width=\"%d\" height=\"%d\">", title, WIDE, HIGH + BELOW);
    for (int i = 0; i <= 4; i++) {
      double y = HIGH - i * (HIGH - 10) / 4.0;
      out.printf(
          Locale.ROOT,
          "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#e2e8f0\"/>"
              + "<text x=\"%d\" y=\"%.1f\" font-size=\"11\" text-anchor=\"end\">%.0f</text>",
          LEFT,
          WIDE,
          y,
          y,
          LEFT - 6,
          y + 4,
          most * i / 4);
    }
    for (int i = 0; i < lines.size(); i++) {
      Line line = lines.get(i);
      StringBuilder points = new StringBuilder();
      for (int j = 0; j < line.values.length; j++) {
        double x = LEFT + (WIDE - LEFT) * j / Math.max(1.0, line.values.length - 1);
        points.append(
            String.format(
                Locale.ROOT, "%.1f,%.1f ", x, HIGH - line.values[j] / most * (HIGH - 10)));
      }
      out.printf(
          "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" points=\"%s\"/>",
          COLOURS[i % COLOURS.length], points);
    }
    if (end > 0) {
      out.printf(
          Locale.ROOT,
          "<text x=\"%d\" y=\"%d\" font-size=\"11\">0 %s</text><text x=\"%d\" y=\"%d\" "
              + "font-size=\"11\" text-anchor=\"end\">%.0f %s</text>",
          LEFT,
          HIGH + 16,
          unit,
          WIDE,
          HIGH + 16,
          end,
          unit);
    }
    out.println("</svg><p>");
    for (int i = 0; i < lines.size(); i++) {
      out.printf(
          "<span style=\"color:%s\">&#9632; %s</span> ",
          COLOURS[i % COLOURS.length], escaped(lines.get(i).name));
    }
    out.println("</p>");
  }
}
