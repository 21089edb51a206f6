package tillerlink.faultinjection.harness;

import java.util.HashMap;
import java.util.Map;

/** Counts the disks that each gateway had; it does not know what was on earlier ones. */
public final class ProcessIncarnations {
  private final Map<String, Integer> incarnations = new HashMap<>();

  /** The number of disks that a gateway has lost. */
  public synchronized int of(String gateway) {
    return incarnations.getOrDefault(gateway, 0);
  }

  /** A gateway starts with less on its disk than it had. */
  public synchronized void diskLost(String gateway) {
    incarnations.merge(gateway, 1, Integer::sum);
  }
}
