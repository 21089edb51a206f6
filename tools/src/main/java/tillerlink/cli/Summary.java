package tillerlink.cli;

import java.io.PrintWriter;
import java.util.Locale;
import tillerlink.audit.Violation;
import tillerlink.replay.End;
import tillerlink.replay.Figures;
import tillerlink.replay.Played;

/** What a replay found, for a terminal. */
final class Summary {
  private Summary() {}

  static void print(Played run, PrintWriter out) {
    Figures figures = run.figures();
    out.printf(
        Locale.ROOT,
        "served %.4f whole, %.4f worst 10 s, %.4f worst track; %s, %s engines%n",
        figures.whole(),
        figures.worstWindow(),
        figures.worstRequestClass(),
        run.job().policyName(),
        run.lag() == null ? "emulated" : "stand-in");
    if (run.lag() != null) {
      out.printf(
          Locale.ROOT,
          "sent late by %.1f ms at half, %.1f at 99 of 100, %.1f at the most%s%n",
          run.lag().getValueAtPercentile(50) / 10.0,
          run.lag().getValueAtPercentile(99) / 10.0,
          run.lag().getMaxValue() / 10.0,
          run.inTime() ? "" : ": the figure does not count");
    }
    out.printf(
        Locale.ROOT,
        "%-8s %9s %8s %7s %8s %8s %7s %9s %9s%n",
        "track",
        "arrived",
        "in time",
        "late",
        "turned",
        "broken",
        "gone",
        "half ms",
        "99% ms");
    for (Figures.OfRequestClass of : figures.requestClasses()) {
      out.printf(
          Locale.ROOT,
          "%-8s %9d %8.4f %7d %8d %8d %7d %9.1f %9.1f%n",
          of.requestClass().name(),
          of.arrived(),
          of.served(),
          of.ended(End.LATE),
          of.ended(End.TURNED_BACK),
          of.ended(End.BROKEN_OFF),
          of.ended(End.CLIENT_GONE) + of.ended(End.KILLED),
          of.timeMs(50),
          of.timeMs(99));
    }
    out.printf(
        Locale.ROOT,
        "rows %d read, %d used, %d bad; hops %d, %d further%n",
        run.arrivals().tally().rowsRead(),
        run.arrivals().tally().rowsUsed(),
        run.arrivals().tally().bad(),
        run.auditor().attempts(),
        run.auditor().retries());
    run.cluster().incidents().forEach(out::println);
    for (Violation violation :
        run.auditor().violations().subList(0, Math.min(5, run.auditor().violations().size()))) {
      out.println("  " + violation.what());
    }
    out.println(run.verdict());
    out.flush();
  }
}
