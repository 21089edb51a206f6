package tillerlink.faultinjection.audit;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Prepared statements and schema changes, as clients and engines saw them. */
final class Prepared {
  private record Asked(String gateway, String group, long at) {}

  private final Violations violations;
  private final Map<String, TreeMap<Long, Long>> effects = new HashMap<>();
  private final Map<String, Asked> asked = new HashMap<>();
  private final Map<String, String> texts = new HashMap<>();
  private final Map<String, Long> generations = new HashMap<>();
  private int runs;

  Prepared(Violations violations) {
    this.violations = violations;
  }

  /** A client was told that a group's schema is of that version now. */
  void effect(String group, long version, long at) {
    effects.computeIfAbsent(group, g -> new TreeMap<>()).merge(version, at, Math::min);
  }

  /** A client asks for a run, which bears a mark of its own. */
  void asked(String mark, String gateway, String group, long at) {
    asked.put(mark, new Asked(gateway, group, at));
    runs++;
  }

  /** An engine was sent the statement of a run that was prepared under that version. */
  void ran(String mark, String engine, long version) {
    Asked one = asked.get(mark);
    if (one == null) {
      return;
    }
    effects
        .getOrDefault(one.group, new TreeMap<>())
        .tailMap(version, false)
        .forEach(
            (later, at) -> {
              if (at < one.at) {
                violations.add(
                    Rule.OLD_SCHEMA,
                    engine
                        + " was sent "
                        + mark
                        + " of "
                        + one.gateway
                        + ", prepared under "
                        + one.group
                        + " "
                        + version
                        + ", asked for after "
                        + later
                        + " was in effect");
              }
            });
  }

  /** A gateway told what stands under a name. */
  void stands(String gateway, int life, String name, long generation, String text) {
    String before = texts.putIfAbsent(name + "/" + generation, text);
    if (before != null && !before.equals(text)) {
      violations.add(Rule.GENERATION_FELL, name + " has two texts of generation " + generation);
    }
    Long was = generations.put(gateway + "/" + life + "/" + name, generation);
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
