package tillerlink.faultinjection.harness;

import java.util.HashMap;
import java.util.Map;

/** Counts the disks that each gateway had: what was on an earlier one it does not remember. */
public final class ProcessIncarnations {
  private final Map<String, Integer> lives = new HashMap<>();

  public synchronized int of(String gateway) {
    return lives.getOrDefault(gateway, 0);
  }

  /** It starts with less than it had. */
  public synchronized void diskLost(String gateway) {
    lives.merge(gateway, 1, Integer::sum);
  }
}
