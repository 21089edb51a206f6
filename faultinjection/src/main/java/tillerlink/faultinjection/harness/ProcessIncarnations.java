package tillerlink.faultinjection.harness;

import java.util.HashMap;
import java.util.Map;

/** Counts the disks that each gateway has lost; a gateway knows nothing of its earlier disks. */
public final class ProcessIncarnations {
  private final Map<String, Integer> incarnations = new HashMap<>();

  /** Returns the number of disks that a gateway has lost. */
  public synchronized int of(String gateway) {
    return incarnations.getOrDefault(gateway, 0);
  }

  /** Records that a gateway starts with data missing from its disk. */
  public synchronized void diskLost(String gateway) {
    incarnations.merge(gateway, 1, Integer::sum);
  }
}
