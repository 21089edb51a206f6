package tillerlink.faultinjection.harness;

import java.util.ArrayList;
import java.util.List;

/** What happened in a story, in words that are the same each time it is played. */
public final class Timeline {
  private static final long PAUSE_MS = 20;

  /** Something that is looked at again and again; an exception counts as not yet. */
  @FunctionalInterface
  public interface Look {
    boolean holds() throws Exception;
  }

  private final List<String> lines = new ArrayList<>();
  private final long patienceMs;
  private boolean failed;

  /**
   * @param patienceMs how long something may take that must come about; a bound for broken programs
   *     alone
   */
  public Timeline(long patienceMs) {
    this.patienceMs = patienceMs;
  }

  /** Notes what the story does. */
  public void note(String line) {
    lines.add(line);
  }

  /** Waits until it holds, and notes that it does, or that it never did. */
  public boolean until(String line, Look look) {
    // What did not come about once is most likely why the rest does not either: nobody waits again.
    long until = System.nanoTime() + (failed ? 0 : patienceMs * 1_000_000);
    String trouble = "";
    while (System.nanoTime() < until) {
      try {
        if (look.holds()) {
          lines.add(line);
          return true;
        }
        trouble = "";
      } catch (Exception e) {
        trouble = " (" + e + ")";
      }
      ProcessCluster.pause(PAUSE_MS);
    }
    lines.add("NEVER: " + line + trouble);
    failed = true;
    return false;
  }

  @Override
  public String toString() {
    return String.join("\n", lines) + "\n";
  }
}
