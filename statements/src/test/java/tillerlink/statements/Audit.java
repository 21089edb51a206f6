package tillerlink.statements;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tillerlink.statements.run.Prepared;

/**
 * Looks at a fleet from outside: which runs were written when, and when a change could first be
 * seen in effect.
 */
final class Audit {
  final List<String> violations = new ArrayList<>();
  private final Map<Integer, Long> newest = new TreeMap<>();
  private final Map<String, String> texts = new HashMap<>();
  private final Map<String, Long> generations = new HashMap<>();
  private final Set<Attempt> atEngines = new LinkedHashSet<>();
  long runs;
  long effects;
  long turnedBack;
  long calledOff;

  /**
   * An attempt that an engine is at.
   *
   * @param until when the lease runs out that it was written under
   */
  record Attempt(String gateway, Prepared prepared, long until) {}

  /** An engine begins. */
  Attempt begins(String gateway, Prepared prepared, long until) {
    Attempt attempt = new Attempt(gateway, prepared, until);
    atEngines.add(attempt);
    return attempt;
  }

  /** An engine is done, whoever hears of it. */
  void ends(Attempt attempt) {
    atEngines.remove(attempt);
  }

  private void tookEffect(long now, int group, long version) {
    atEngines.stream()
        .filter(
            it -> it.prepared.versions().getOrDefault(group, version) < version && it.until > now)
        .findFirst()
        .ifPresent(
            it ->
                violations.add(
                    now / 10
                        + " ms: group "
                        + group
                        + " changes while a hop of "
                        + it.gateway
                        + " is at an engine, under a lease until "
                        + it.until / 10
                        + " ms"));
  }

  /** What a gateway's state says, after each step that it took. */
  void sees(long now, String process, Statements part) {
    part.catalog()
        .versions()
        .forEach(
            (group, version) -> {
              long last = newest.getOrDefault(group, 1L);
              if (version > last) {
                newest.put(group, version);
                tookEffect(now, group, version);
                effects += version - last;
              }
            });
    part.catalog()
        .statements()
        .forEach(
            (name, standing) -> {
              String key = process + " " + name;
              long last = generations.getOrDefault(key, 0L);
              if (standing.generation() < last) {
                violations.add(
                    key + ": generation falls from " + last + " to " + standing.generation());
              }
              generations.put(key, standing.generation());
              said(name, standing.generation(), standing.definition().text());
            });
  }

  private void said(String name, long generation, String text) {
    String old = texts.putIfAbsent(name + " " + generation, text);
    if (old != null && !old.equals(text)) {
      violations.add(name + " has two texts in generation " + generation);
    }
  }

  /** An attempt was written. */
  void ran(long now, String gateway, Prepared prepared) {
    runs++;
    said(prepared.definition().name(), prepared.generation(), prepared.definition().text());
    prepared
        .versions()
        .forEach(
            (group, version) -> {
              if (version < newest.getOrDefault(group, 1L)) {
                violations.add(
                    now / 10
                        + " ms: "
                        + gateway
                        + " runs "
                        + prepared.definition().name()
                        + " under version "
                        + version
                        + " of group "
                        + group
                        + ", in effect is "
                        + newest.get(group));
              }
            });
  }
}
