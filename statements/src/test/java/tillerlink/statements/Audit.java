package tillerlink.statements;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.run.Prepared;

/**
 * Watches a cluster from outside: which runs were written when, and when a change was first seen in
 * effect. Times are true time, in tenths of a millisecond.
 */
final class Audit {
  private final List<String> violations = new ArrayList<>();
  private final Map<Integer, Long> newestVersions = new TreeMap<>();
  private final Map<String, String> texts = new HashMap<>();
  private final Map<String, Long> generations = new HashMap<>();
  private final Set<Attempt> executing = new LinkedHashSet<>();
  private long runs;
  private long effects;
  private long rejected;
  private long cancelled;

  /**
   * An attempt that an engine executes.
   *
   * @param leaseUntil when the lease expires that it was written under
   */
  record Attempt(String gateway, Prepared prepared, long leaseUntil) {}

  List<String> violations() {
    return violations;
  }

  /** Runs that were written. */
  long runs() {
    return runs;
  }

  /** Schema versions that took effect. */
  long effects() {
    return effects;
  }

  /** Runs that were rejected when they came. */
  long rejected() {
    return rejected;
  }

  /** Runs that were cancelled when they were to be written. */
  long cancelled() {
    return cancelled;
  }

  void onRejected() {
    rejected++;
  }

  void onCancelled() {
    cancelled++;
  }

  Attempt onExecutionStarted(String gateway, Prepared prepared, long leaseUntil) {
    Attempt attempt = new Attempt(gateway, prepared, leaseUntil);
    executing.add(attempt);
    return attempt;
  }

  /** An engine is done, whether its gateway learns of it or not. */
  void onExecutionEnded(Attempt attempt) {
    executing.remove(attempt);
  }

  /** A gateway took a step: checks what its catalog says. */
  void onStep(long now, String process, Statements statements) {
    Catalog catalog = statements.catalog();
    catalog.versions().forEach((group, version) -> onVersion(now, group, version));
    catalog
        .statements()
        .forEach(
            (name, entry) -> {
              onGeneration(process + " " + name, entry.generation());
              onText(name, entry.generation(), entry.definition().text());
            });
  }

  private void onVersion(long now, int group, long version) {
    long last = newestVersions.getOrDefault(group, 1L);
    if (version > last) {
      newestVersions.put(group, version);
      checkExecuting(now, group, version);
      effects += version - last;
    }
  }

  private void checkExecuting(long now, int group, long version) {
    executing.stream()
        .filter(attempt -> attempt.leaseUntil > now)
        .filter(attempt -> attempt.prepared.versions().getOrDefault(group, version) < version)
        .findFirst()
        .ifPresent(
            attempt ->
                violations.add(
                    now / ClusterFixture.MS
                        + " ms: group "
                        + group
                        + " changes while an attempt of "
                        + attempt.gateway
                        + " is at an engine, under a lease until "
                        + attempt.leaseUntil / ClusterFixture.MS
                        + " ms"));
  }

  private void onGeneration(String key, long generation) {
    long last = generations.getOrDefault(key, 0L);
    if (generation < last) {
      violations.add(key + ": generation falls from " + last + " to " + generation);
    }
    generations.put(key, generation);
  }

  private void onText(String name, long generation, String text) {
    String old = texts.putIfAbsent(name + " " + generation, text);
    if (old != null && !old.equals(text)) {
      violations.add(name + " has two texts in generation " + generation);
    }
  }

  /** An attempt was written: no group's schema version may be an earlier one than in effect. */
  void onRun(long now, String gateway, Prepared prepared) {
    runs++;
    String name = prepared.definition().name();
    onText(name, prepared.generation(), prepared.definition().text());
    prepared
        .versions()
        .forEach(
            (group, version) -> {
              long newest = newestVersions.getOrDefault(group, 1L);
              if (version < newest) {
                violations.add(
                    now / ClusterFixture.MS
                        + " ms: "
                        + gateway
                        + " runs "
                        + name
                        + " under version "
                        + version
                        + " of group "
                        + group
                        + ", in effect is "
                        + newest);
              }
            });
  }
}
