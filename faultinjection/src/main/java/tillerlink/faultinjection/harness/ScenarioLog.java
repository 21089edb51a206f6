package tillerlink.faultinjection.harness;

import java.util.ArrayList;
import java.util.List;

/** A log of the events of a scenario, whose lines are the same in every run that passes. */
public final class ScenarioLog {
  private static final long POLL_INTERVAL_MS = 20;

  /** A condition that is polled; an exception counts as false. */
  @FunctionalInterface
  public interface Condition {
    /** Returns whether the condition is true now. */
    boolean holds() throws Exception;
  }

  private final List<String> lines = new ArrayList<>();
  private final long timeoutMs;
  private boolean failed;

  /**
   * Creates an empty log.
   *
   * @param timeoutMs the time that a condition may take, in milliseconds; only a faulty program
   *     reaches it
   */
  public ScenarioLog(long timeoutMs) {
    this.timeoutMs = timeoutMs;
  }

  /** Records a step of the scenario. */
  public void record(String line) {
    lines.add(line);
  }

  /**
   * Waits until a condition is true, and records the line, or a line with the last error if the
   * condition does not become true in time.
   *
   * @return whether the condition became true
   */
  public boolean until(String line, Condition condition) {
    // After one failure the other conditions most likely fail too, so they are not waited for.
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
