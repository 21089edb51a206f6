package tillerlink.faultinjection.audit;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Checks prepared statements and schema changes, as clients and engines saw them. */
final class PreparedStatementChecker {
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

  /** A client learned that a version of a group's schema is in effect. */
  void inEffect(String group, long version, long nanos) {
    effects.computeIfAbsent(group, g -> new TreeMap<>()).merge(version, nanos, Math::min);
  }

  /** A client requests a run with a unique marker. */
  void requested(String marker, String gateway, String group, long nanos) {
    requestedRuns.put(marker, new RequestedRun(gateway, group, nanos));
    runs++;
  }

  /** An engine received the statement of a run, prepared under that version. */
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
                        + " was sent "
                        + marker
                        + " of "
                        + run.gateway
                        + ", prepared under "
                        + run.group
                        + " "
                        + version
                        + ", asked for after "
                        + later
                        + " was in effect");
              }
            });
  }

  /** A gateway reported the text of a name. */
  void reported(String gateway, int incarnation, String name, long generation, String text) {
    String before = texts.putIfAbsent(name + "/" + generation, text);
    if (before != null && !before.equals(text)) {
      violations.add(Rule.GENERATION_FELL, name + " has two texts of generation " + generation);
    }
    Long was = generations.put(gateway + "/" + incarnation + "/" + name, generation);
    if (was != null && was > generation) {
      violations.add(
          Rule.GENERATION_FELL,
          name + " fell from generation " + was + " to " + generation + " at " + gateway);
    }
  }

  int runs() {
    return runs;
  }
}
