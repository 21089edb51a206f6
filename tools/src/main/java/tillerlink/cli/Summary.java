package tillerlink.cli;

import java.io.PrintWriter;
import java.util.Locale;
import tillerlink.replay.End;
import tillerlink.replay.ReplayMetrics;
import tillerlink.replay.ReplayResult;

/** Prints the result of a replay in a few lines. */
final class Summary {
  private static final int MAX_VIOLATIONS = 5;
  private static final double TICKS_PER_MS = 10;

  private Summary() {}

  static void print(ReplayResult result, PrintWriter out) {
    printTotals(result, out);
    if (result.lag() != null) {
      printLag(result, out);
    }
    printRequestClasses(result.metrics(), out);
    out.printf(
        Locale.ROOT,
        "rows %d read, %d used, %d bad; hops %d, %d further%n",
        result.arrivals().counts().rowsRead(),
        result.arrivals().counts().rowsUsed(),
        result.arrivals().counts().bad(),
        result.auditor().attempts(),
        result.auditor().retries());
    result.cluster().incidents().forEach(out::println);
    result.auditor().violations().stream()
        .limit(MAX_VIOLATIONS)
        .forEach(violation -> out.println("  " + violation.what()));
    out.println(result.verdict());
    out.flush();
  }

  private static void printTotals(ReplayResult result, PrintWriter out) {
    ReplayMetrics metrics = result.metrics();
    out.printf(
        Locale.ROOT,
        "served %.4f whole, %.4f worst 10 s, %.4f worst track; %s, %s engines%n",
        metrics.whole(),
        metrics.worstWindow(),
        metrics.worstRequestClass(),
        result.config().policyName(),
        result.lag() == null ? "emulated" : "stand-in");
  }

  private static void printLag(ReplayResult result, PrintWriter out) {
    out.printf(
        Locale.ROOT,
        "sent late by %.1f ms at half, %.1f at 99 of 100, %.1f at the most%s%n",
        result.lag().getValueAtPercentile(50) / TICKS_PER_MS,
        result.lag().getValueAtPercentile(99) / TICKS_PER_MS,
        result.lag().getMaxValue() / TICKS_PER_MS,
        result.loadWasInTime() ? "" : ": the figure does not count");
  }

  private static void printRequestClasses(ReplayMetrics metrics, PrintWriter out) {
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
    for (ReplayMetrics.RequestClassMetrics requestClass : metrics.requestClasses()) {
      out.printf(
          Locale.ROOT,
          "%-8s %9d %8.4f %7d %8d %8d %7d %9.1f %9.1f%n",
          requestClass.requestClass().name(),
          requestClass.arrived(),
          requestClass.served(),
          requestClass.ended(End.LATE),
          requestClass.ended(End.TURNED_BACK),
          requestClass.ended(End.BROKEN_OFF),
          requestClass.ended(End.CLIENT_GONE) + requestClass.ended(End.KILLED),
          requestClass.timeMs(50),
          requestClass.timeMs(99));
    }
  }
}
