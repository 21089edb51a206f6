package tillerlink.faultinjection.audit;

import java.util.List;

/**
 * Checks the observations of clients and engines against the rules. Of the inside of processes it
 * knows only what their logs report. Thread-safe.
 */
public final class Audit {
  private final Violations violations = new Violations();
  private final RequestChecker requests = new RequestChecker(violations);
  private final ChannelLogChecker logs = new ChannelLogChecker(violations);
  private final PreparedStatementChecker prepared = new PreparedStatementChecker(violations);

  // ---- plain requests ----

  /**
   * A request is submitted.
   *
   * @param statement a unique one, so that what an engine ran identifies its request
   */
  public synchronized void submitted(String id, String statement, boolean effectful) {
    requests.submitted(id, statement, effectful);
  }

  /** A request got its final response. */
  public synchronized void answered(String id, int status) {
    requests.answered(id, status);
  }

  /** A request may rightly stay without a response: its connection or its gateway broke. */
  public synchronized void excused(String id) {
    requests.excused(id);
  }

  /** An engine runs a statement. */
  public synchronized void ran(String engine, String statement) {
    requests.ran(engine, statement);
  }

  // ---- channels ----

  /**
   * A gateway accepted an append.
   *
   * @param incarnation the number of disks that the gateway had before
   * @param key the client's, or null
   * @param id the event's
   */
  public synchronized void appended(
      String channel, String gateway, int incarnation, String key, String id) {
    logs.appended(channel, gateway, incarnation, key, id);
  }

  /**
   * A gateway starts with less on its disk than it had: entries that no other gateway had may be
   * lost.
   */
  public synchronized void diskLost(String gateway) {
    logs.diskLost(gateway);
  }

  /** A client read a part of a gateway's log. */
  public synchronized void read(String channel, String gateway, List<ChannelLogEntry> lines) {
    logs.read(channel, gateway, lines);
  }

  /** A client read the whole log of a gateway at rest. */
  public synchronized void last(String channel, String gateway, List<ChannelLogEntry> lines) {
    logs.last(channel, gateway, lines);
  }

  // ---- prepared statements ----

  /**
   * A client learned at that time, in nanoseconds, that a version of a group's schema is in effect.
   */
  public synchronized void schemaInEffect(String group, long version, long nanos) {
    prepared.inEffect(group, version, nanos);
  }

  /**
   * A client runs a prepared statement.
   *
   * @param marker a unique parameter of the run
   */
  public synchronized void runRequested(String marker, String gateway, String group, long nanos) {
    prepared.requested(marker, gateway, group, nanos);
  }

  /** An engine received a prepared statement with that marker, prepared under that version. */
  public synchronized void preparedRan(String marker, String engine, long version) {
    prepared.ran(marker, engine, version);
  }

  /** A gateway reported the generation and text of a prepared statement. */
  public synchronized void reported(
      String gateway, int incarnation, String name, long generation, String text) {
    prepared.reported(gateway, incarnation, name, generation, text);
  }

  // ---- in general ----

  /** Records a violation that the harness itself found. */
  public synchronized void violation(Rule rule, String description) {
    violations.add(rule, description);
  }

  /** Checks what must hold at rest, and returns all violations. */
  public synchronized List<Violation> end() {
    requests.end();
    logs.end();
    return violations.all();
  }

  public synchronized List<Violation> violations() {
    return violations.all();
  }

  public synchronized int requests() {
    return requests.count();
  }

  public synchronized int appends() {
    return logs.appends();
  }

  public synchronized int runs() {
    return prepared.runs();
  }

  public synchronized int violationCount() {
    return violations.count();
  }
}
