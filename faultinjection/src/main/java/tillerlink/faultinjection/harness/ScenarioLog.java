package tillerlink.faultinjection.harness;

import java.util.ArrayList;
import java.util.List;

/** The events of a scenario, in words that are the same in every run. */
public final class ScenarioLog {
  private static final long POLL_INTERVAL_MS = 20;

  /** A condition that is polled; an exception counts as false. */
  @FunctionalInterface
  public interface Condition {
    /** Whether it holds now. */
    boolean holds() throws Exception;
  }

  private final List<String> lines = new ArrayList<>();
  private final long timeoutMs;
  private boolean failed;

  /**
   * An empty log.
   *
   * @param timeoutMs how long a condition may take; only broken programs reach it
   */
  public ScenarioLog(long timeoutMs) {
    this.timeoutMs = timeoutMs;
  }

  /** Records a step of the scenario. */
  public void record(String line) {
    lines.add(line);
  }

  /** Waits until a condition holds, and records that it does, or that it never did. */
  public boolean until(String line, Condition condition) {
    // After one failure the rest most likely fails as well, so that it is not waited for.
    long deadline = System.nanoTime() + (failed ? 0 : timeoutMs * 1_000_000);
    String problem = "";
    while (System.nanoTime() < deadline) {
      try {
        if (condition.holds()) {
          lines.add(line);
          return true;
        }
        problem = "";
      } catch (Exception e) {
        problem = " (" + e + ")";
      }
      ProcessCluster.pause(POLL_INTERVAL_MS);
    }
    lines.add("NEVER: " + line + problem);
    failed = true;
    return false;
  }

  @Override
  public String toString() {
    return String.join("\n", lines) + "\n";
  }
}
