package tillerlink.policy;

import tillerlink.model.Engine;

/**
 * Reads the load reports that engines send with their responses. Times are tenths of a millisecond.
 */
final class LoadReports {
  /** Reported share of cores or disks in use from which on an engine counts as busy. */
  private static final double BUSY_UTILIZATION = 0.95;

  private final PolicyConfig config;

  LoadReports(PolicyConfig config) {
    this.config = config;
  }

  /**
   * Records a load report of an engine.
   *
   * @param report numbers in the order of the setting {@code report.fields}, or null
   * @return whether the engine reports that it is busy
   */
  boolean record(long now, Engine engine, double[] report) {
    if (report == null) {
      return false;
    }
    engine.setReportedAt(now);
    engine.setReportedUtilization(0);
    for (int i = 0; i < Math.min(report.length, config.reportFields.size()); i++) {
      record(engine, config.reportFields.get(i), report[i]);
    }
    return engine.reportedUtilization() >= BUSY_UTILIZATION;
  }

  private static void record(Engine engine, String field, double value) {
    switch (field) {
      case "busy_reqs" -> engine.setReportedQueries(value);
      case "cpu_share", "x1" -> reportUtilization(engine, value);
      case "pending" -> reportUtilization(engine, value >= 1 ? 1 : 0);
      default -> {
        // No decision uses the other fields.
      }
    }
  }

  private static void reportUtilization(Engine engine, double utilization) {
    engine.setReportedUtilization(Math.max(engine.reportedUtilization(), utilization));
  }

  /**
   * Returns whether the last load report of an engine is recent enough to be used, which is for the
   * duration of the largest latency objective.
   */
  boolean isRecent(long now, Engine engine) {
    return now < engine.reportedAt() + config.maxLatencyObjective;
  }
}
