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
 * An audit of a cluster from outside. It records which attempts were written when and when each
 * change was first in effect on any gateway, and collects violations of the rules. Times are true
 * time, in tenths of a millisecond.
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
   * @param gateway the gateway that wrote the attempt
   * @param prepared the statement that it runs
   * @param leaseUntil the end of the lease under which it was written
   */
  record Attempt(String gateway, Prepared prepared, long leaseUntil) {}

  List<String> violations() {
    return violations;
  }

  /** Returns the number of attempts that were written. */
  long runs() {
    return runs;
  }

  /** Returns the number of schema versions that took effect. */
  long effects() {
    return effects;
  }

  /** Returns the number of runs that were rejected on arrival. */
  long rejected() {
    return rejected;
  }

  /** Returns the number of runs that were cancelled just before their attempt was written. */
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

  /** Records that an engine finished an attempt, whether its gateway learns of it or not. */
  void onExecutionEnded(Attempt attempt) {
    executing.remove(attempt);
  }

  /**
   * Checks a gateway's catalog after the gateway handled a message or a tick. The generation of a
   * name must not decrease, and a generation must have one text.
   *
   * @param process the name of the process, which differs after each restart
   */
  void onCatalogUpdated(long now, String process, Statements statements) {
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

  /** Checks that no engine executes an attempt under a valid lease when a version takes effect. */
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
                        + " changes while an engine executes an attempt of "
                        + attempt.gateway
                        + ", lease valid until "
                        + attempt.leaseUntil / ClusterFixture.MS
                        + " ms"));
  }

  private void onGeneration(String key, long generation) {
    long last = generations.getOrDefault(key, 0L);
    if (generation < last) {
      violations.add(key + ": generation decreases from " + last + " to " + generation);
    }
    generations.put(key, generation);
  }

  private void onText(String name, long generation, String text) {
    String old = texts.putIfAbsent(name + " " + generation, text);
    if (old != null && !old.equals(text)) {
      violations.add(name + " has two texts in generation " + generation);
    }
  }

  /** Checks that a written attempt runs under schema versions that no later one has replaced. */
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
                        + " under schema version "
                        + version
                        + " of group "
                        + group
                        + ", in effect is version "
                        + newest);
              }
            });
  }
}
