package tillerlink.faultinjection.audit;

import java.util.List;

/**
 * Checks the observations of clients and engines against the rules of {@link Rule}. The only
 * internal state of a process that it uses is what the process reports in its log. Thread-safe.
 */
public final class Audit {
  private final Violations violations = new Violations();
  private final RequestChecker requests = new RequestChecker(violations);
  private final ChannelLogChecker logs = new ChannelLogChecker(violations);
  private final PreparedStatementChecker prepared = new PreparedStatementChecker(violations);

  // ---- plain requests ----

  /**
   * Records that a client submits a request.
   *
   * @param id the id of the request
   * @param statement the text of the statement; unique, so that a statement that an engine runs
   *     identifies its request
   * @param effectful whether the request must not run twice
   */
  public synchronized void submitted(String id, String statement, boolean effectful) {
    requests.submitted(id, statement, effectful);
  }

  /** Records the final response to a request, with its HTTP status. */
  public synchronized void answered(String id, int status) {
    requests.answered(id, status);
  }

  /**
   * Records that a request may correctly stay without a response, because its connection or its
   * gateway failed.
   */
  public synchronized void excused(String id) {
    requests.excused(id);
  }

  /** Records that an engine runs a statement. */
  public synchronized void ran(String engine, String statement) {
    requests.ran(engine, statement);
  }

  // ---- channels ----

  /**
   * Records that a gateway accepted an append.
   *
   * @param incarnation the number of disks that the gateway has lost
   * @param key the idempotency key of the client, or null
   * @param id the id of the event
   */
  public synchronized void appended(
      String channel, String gateway, int incarnation, String key, String id) {
    logs.appended(channel, gateway, incarnation, key, id);
  }

  /**
   * Records that a gateway starts with data missing from its disk: entries that no other gateway
   * had may be lost.
   */
  public synchronized void diskLost(String gateway) {
    logs.diskLost(gateway);
  }

  /** Records that a client read a part of a gateway's log. */
  public synchronized void read(String channel, String gateway, List<ChannelLogEntry> lines) {
    logs.read(channel, gateway, lines);
  }

  /** Records the whole log of a gateway after the load has ended and the logs have settled. */
  public synchronized void last(String channel, String gateway, List<ChannelLogEntry> lines) {
    logs.last(channel, gateway, lines);
  }

  // ---- prepared statements ----

  /**
   * Records that a client learned that a version of a group's schema is in effect.
   *
   * @param nanos the time of that observation, by {@code System.nanoTime()}
   */
  public synchronized void schemaInEffect(String group, long version, long nanos) {
    prepared.inEffect(group, version, nanos);
  }

  /**
   * Records that a client requests a run of a prepared statement.
   *
   * @param marker a unique parameter that identifies the run
   * @param nanos the time of the request, by {@code System.nanoTime()}
   */
  public synchronized void runRequested(String marker, String gateway, String group, long nanos) {
    prepared.requested(marker, gateway, group, nanos);
  }

  /**
   * Records that an engine received a prepared statement.
   *
   * @param marker the parameter that identifies the run
   * @param version the version of the schema under which the statement was prepared
   */
  public synchronized void preparedRan(String marker, String engine, long version) {
    prepared.ran(marker, engine, version);
  }

  /** Records the generation and the text of a prepared statement that a gateway reported. */
  public synchronized void reported(
      String gateway, int incarnation, String name, long generation, String text) {
    prepared.reported(gateway, incarnation, name, generation, text);
  }

  // ---- in general ----

  /** Adds a violation that the harness itself found. */
  public synchronized void violation(Rule rule, String description) {
    violations.add(rule, description);
  }

  /**
   * Checks the rules that apply once the run has ended.
   *
   * @return the first violations of each rule during the whole run
   */
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
