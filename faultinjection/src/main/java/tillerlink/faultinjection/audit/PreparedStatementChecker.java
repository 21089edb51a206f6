package tillerlink.faultinjection.audit;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Checks prepared statements and schema changes, as clients and engines observed them. */
final class PreparedStatementChecker {
  /** A requested run, with its time by {@code System.nanoTime()}. */
  private record RequestedRun(String gateway, String group, long nanos) {}

  private final Violations violations;
  private final Map<String, TreeMap<Long, Long>> effects = new HashMap<>();
  private final Map<String, RequestedRun> requestedRuns = new HashMap<>();
  private final Map<String, String> texts = new HashMap<>();
  private final Map<String, Long> generations = new HashMap<>();
  private int runs;

  PreparedStatementChecker(Violations violations) {
    this.violations = violations;
  }

  /** Records when a client first learned that a version of a group's schema is in effect. */
  void inEffect(String group, long version, long nanos) {
    effects.computeIfAbsent(group, g -> new TreeMap<>()).merge(version, nanos, Math::min);
  }

  /** Records that a client requests a run, identified by a unique marker. */
  void requested(String marker, String gateway, String group, long nanos) {
    requestedRuns.put(marker, new RequestedRun(gateway, group, nanos));
    runs++;
  }

  /**
   * Checks that an engine did not receive a run under a schema version that was superseded before
   * the run was requested.
   *
   * @param version the version under which the statement was prepared
   */
  void ran(String marker, String engine, long version) {
    RequestedRun run = requestedRuns.get(marker);
    if (run == null) {
      return;
    }
    effects
        .getOrDefault(run.group, new TreeMap<>())
        .tailMap(version, false)
        .forEach(
            (later, since) -> {
              if (since < run.nanos) {
                violations.add(
                    Rule.OLD_SCHEMA,
                    engine
                        + " received "
                        + marker
                        + " from "
                        + run.gateway
                        + ", prepared under "
                        + run.group
                        + " "
                        + version
                        + ", requested after version "
                        + later
                        + " was in effect");
              }
            });
  }

  /** Checks the generation and the text that a gateway reported for a statement's name. */
  void reported(String gateway, int incarnation, String name, long generation, String text) {
    String before = texts.putIfAbsent(name + "/" + generation, text);
    if (before != null && !before.equals(text)) {
      violations.add(Rule.GENERATION_FELL, name + " has two texts in generation " + generation);
    }
    Long previous = generations.put(gateway + "/" + incarnation + "/" + name, generation);
    if (previous != null && previous > generation) {
      violations.add(
          Rule.GENERATION_FELL,
          name + " went back from generation " + previous + " to " + generation + " at " + gateway);
    }
  }

  int runs() {
    return runs;
  }
}
