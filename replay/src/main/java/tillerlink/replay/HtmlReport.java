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

/** Writes the result of a replay as one self-contained HTML page with tables and plots. */
public final class HtmlReport {
  private static final int WIDTH = 860;
  private static final int HEIGHT = 180;
  private static final int TOP_MARGIN = 10;
  private static final int GRID_LINES = 4;
  private static final double MIN_AXIS_MAX = 1e-9;
  private static final int LEFT_MARGIN = 56;
  private static final int BOTTOM_MARGIN = 24;
  private static final double[] PERCENTILES = {0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9};
  private static final String[] COLOURS = {
    "#9aa4b2", "#2b6cb0", "#dd6b20", "#c53030", "#6b46c1", "#2f855a", "#1a202c"
  };

  /** A curve of a plot, with one value for each point on the horizontal axis. */
  private record Curve(String name, double[] values) {}

  private final ReplayResult result;
  private final PrintWriter out;

  private HtmlReport(ReplayResult result, PrintWriter out) {
    this.result = result;
    this.out = out;
  }

  /**
   * Writes the page to a file.
   *
   * @throws IOException if the file cannot be written
   */
  public static void write(ReplayResult result, Path file) throws IOException {
    try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(file))) {
      new HtmlReport(result, out).print();
      if (out.checkError()) {
        throw new IOException(file + ": the report could not be written");
      }
    }
  }

  private void print() {
    ReplayMetrics metrics = result.metrics();
    out.println(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Replay</title><style>"
            + "body{font:14px sans-serif;max-width:"
            + (WIDTH + 80)
            + "px;margin:2em auto}table{border-collapse:collapse}td,th{padding:2px"
            + " 10px;text-align:right}th:first-child,td:first-child{text-align:left}"
            + "svg{display:block}.bad{color:#c53030}</style>");
    out.printf(
        Locale.ROOT,
        "<h1>Replay of a %s trace, %s</h1>",
        escaped(result.config().layout().name()),
        escaped(result.config().policyName()));
    out.printf(
        Locale.ROOT,
        "<p>Served <b>%.4f</b> of the value asked for, %.4f in the worst 10 s (from %.0f s), %.4f"
            + " on the worst track. %d gateways, %d emulated engines with %.0f cores, %.1f s.</p>",
        metrics.whole(),
        metrics.worstWindow(),
        metrics.worstWindowStart() / (double) ReplayMetrics.SECOND,
        metrics.worstRequestClass(),
        result.config().fleet().gateways(),
        result.config().fleet().engines().size(),
        result.config().fleet().cores(),
        result.lasted() / (double) ReplayMetrics.SECOND);
    for (Violation violation : result.auditor().violations()) {
      out.printf(
          "<p class=\"bad\">Rule broken: %s s, %s</p>",
          result.sinceStart(violation.at()), escaped(violation.what()));
    }
    printRequestClasses();
    plotEndsBySecond();
    plotResponseTimes();
    printUtilization();
    printIncidents();
    out.println("</html>");
  }

  private static String escaped(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
  }

  private void printRequestClasses() {
    out.print(
        "<h2>By track</h2><table><tr><th>track<th>arrived<th>in time<th>late<th>turned"
            + " back<th>broken off<th>gone<th>killed<th>half, ms<th>99 of 100, ms");
    for (ReplayMetrics.RequestClassMetrics requestClass : result.metrics().requestClasses()) {
      out.printf(
          Locale.ROOT,
          "<tr><td>%s<td>%d<td>%.4f<td>%d<td>%d<td>%d<td>%d<td>%d<td>%.1f<td>%.1f",
          escaped(requestClass.requestClass().name()),
          requestClass.arrived(),
          requestClass.served(),
          requestClass.ended(End.LATE),
          requestClass.ended(End.TURNED_BACK),
          requestClass.ended(End.BROKEN_OFF),
          requestClass.ended(End.CLIENT_GONE),
          requestClass.ended(End.KILLED),
          requestClass.timeMs(50),
          requestClass.timeMs(99));
    }
    out.println("</table>");
  }

  private void plotEndsBySecond() {
    TimeSeries series = result.metrics().series();
    List<Curve> curves = new ArrayList<>();
    curves.add(new Curve("arrived", countsPerSecond(series, 0)));
    for (End end : End.values()) {
      if (result.metrics().ended(end) > 0) {
        curves.add(
            new Curve(
                end.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                countsPerSecond(series, ReplayMetrics.seriesOf(end))));
      }
    }
    plot(
        "Submissions a second, by when they arrived",
        curves,
        series.bins() * series.span() / (double) ReplayMetrics.SECOND,
        "s");
  }

  private static double[] countsPerSecond(TimeSeries series, int kind) {
    double[] values = new double[series.bins()];
    for (int i = 0; i < values.length; i++) {
      values[i] = series.count(kind, i) * (double) ReplayMetrics.SECOND / series.span();
    }
    return values;
  }

  private void plotResponseTimes() {
    List<Curve> curves = new ArrayList<>();
    for (ReplayMetrics.RequestClassMetrics requestClass : result.metrics().requestClasses()) {
      double[] values = new double[PERCENTILES.length];
      for (int i = 0; i < values.length; i++) {
        double ms = requestClass.timeMs(PERCENTILES[i]);
        values[i] = Double.isNaN(ms) ? 0 : ms;
      }
      curves.add(new Curve(requestClass.requestClass().name(), values));
    }
    plot(
        "Milliseconds to the answer: 0, 10, 25, 50, 75, 90, 95, 99, 99.5 and 99.9 of 100",
        curves,
        0,
        "");
  }

  private void printUtilization() {
    out.print("<h2>Cores given out, as a share, by engine</h2><table>");
    for (Map.Entry<String, Double> engine :
        result.cluster().utilization(result.lasted()).entrySet()) {
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

  private void printIncidents() {
    if (!result.cluster().incidents().isEmpty()) {
      out.print("<h2>What happened</h2><pre>");
      result.cluster().incidents().forEach(incident -> out.println(escaped(incident)));
      out.println("</pre>");
    }
  }

  private void plot(String title, List<Curve> curves, double end, String unit) {
    double max = MIN_AXIS_MAX;
    for (Curve curve : curves) {
      for (double value : curve.values) {
        max = Math.max(max, value);
      }
    }
    out.printf("<h2>%s</h2><svg width=\"%d\" height=\"%d\">", title, WIDTH, HEIGHT + BOTTOM_MARGIN);
    plotGrid(max);
    for (int i = 0; i < curves.size(); i++) {
      plotCurve(curves.get(i), max, COLOURS[i % COLOURS.length]);
    }
    if (end > 0) {
      plotTimeAxis(end, unit);
    }
    out.println("</svg><p>");
    for (int i = 0; i < curves.size(); i++) {
      out.printf(
          "<span style=\"color:%s\">&#9632; %s</span> ",
          COLOURS[i % COLOURS.length], escaped(curves.get(i).name));
    }
    out.println("</p>");
  }

  private void plotGrid(double max) {
    for (int i = 0; i <= GRID_LINES; i++) {
      double lineY = HEIGHT - i * (HEIGHT - TOP_MARGIN) / (double) GRID_LINES;
      out.printf(
          Locale.ROOT,
          "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#e2e8f0\"/>"
              + "<text x=\"%d\" y=\"%.1f\" font-size=\"11\" text-anchor=\"end\">%.0f</text>",
          LEFT_MARGIN,
          WIDTH,
          lineY,
          lineY,
          LEFT_MARGIN - 6,
          lineY + 4,
          max * i / GRID_LINES);
    }
  }

  private void plotCurve(Curve curve, double max, String colour) {
    StringBuilder points = new StringBuilder();
    for (int i = 0; i < curve.values.length; i++) {
      double pointX =
          LEFT_MARGIN + (WIDTH - LEFT_MARGIN) * i / Math.max(1.0, curve.values.length - 1);
      double pointY = HEIGHT - curve.values[i] / max * (HEIGHT - TOP_MARGIN);
      points.append(String.format(Locale.ROOT, "%.1f,%.1f ", pointX, pointY));
    }
    out.printf(
        "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" points=\"%s\"/>",
        colour, points);
  }

  private void plotTimeAxis(double end, String unit) {
    out.printf(
        Locale.ROOT,
        "<text x=\"%d\" y=\"%d\" font-size=\"11\">0 %s</text><text x=\"%d\" y=\"%d\" "
            + "font-size=\"11\" text-anchor=\"end\">%.0f %s</text>",
        LEFT_MARGIN,
        HEIGHT + 16,
        unit,
        WIDTH,
        HEIGHT + 16,
        end,
        unit);
  }
}
