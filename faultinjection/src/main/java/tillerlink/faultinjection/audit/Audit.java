package tillerlink.faultinjection.audit;

import java.util.List;

/**
 * What clients and engines saw, held against what must hold. It knows nothing that is inside the
 * processes but what their logs say about themselves. Told from any thread.
 */
public final class Audit {
  private final Violations violations = new Violations();
  private final Requests requests = new Requests(violations);
  private final Logs logs = new Logs(violations);
  private final Prepared prepared = new Prepared(violations);

  // ---- plain requests ----

  /**
   * @param statement one of a kind, so that what an engine ran tells whose it was
   */
  public synchronized void handedIn(String id, String statement, boolean effectful) {
    requests.handedIn(id, statement, effectful);
  }

  public synchronized void answered(String id, int status) {
    requests.answered(id, status);
  }

  /**
   * Nobody knows what became of it, and somebody may not: its connection broke, or its gateway did.
   */
  public synchronized void excused(String id) {
    requests.excused(id);
  }

  public synchronized void ran(String engine, String statement) {
    requests.ran(engine, statement);
  }

  // ---- channels ----

  /**
   * A gateway took an append.
   *
   * @param life counts the disks that the gateway had
   * @param key the client's, or null
   * @param id the event's
   */
  public synchronized void taken(String channel, String gateway, int life, String key, String id) {
    logs.taken(channel, gateway, life, key, id);
  }

  /**
   * A gateway starts with less on its disk than it had: what no other was seen to have may be gone.
   */
  public synchronized void diskLost(String gateway) {
    logs.diskLost(gateway);
  }

  /** A piece of a gateway's log. */
  public synchronized void read(String channel, String gateway, List<LogLine> lines) {
    logs.read(channel, gateway, lines);
  }

  /** The whole log of a gateway at rest. */
  public synchronized void last(String channel, String gateway, List<LogLine> lines) {
    logs.last(channel, gateway, lines);
  }

  // ---- prepared statements ----

  /**
   * A client was told at that time, in nanoseconds, that a group is at that version; earlier ones
   * are over.
   */
  public synchronized void effect(String group, long version, long at) {
    prepared.effect(group, version, at);
  }

  /**
   * @param mark a parameter of the run, one of a kind
   */
  public synchronized void runAsked(String mark, String gateway, String group, long at) {
    prepared.asked(mark, gateway, group, at);
  }

  /**
   * An engine was sent a prepared statement with that mark; its text says under which version it
   * was prepared.
   */
  public synchronized void preparedRan(String mark, String engine, long version) {
    prepared.ran(mark, engine, version);
  }

  public synchronized void stands(
      String gateway, int life, String name, long generation, String text) {
    prepared.stands(gateway, life, name, generation, text);
  }

  // ---- in general ----

  /** Something that the rig itself saw. */
  public synchronized void broken(Rule rule, String words) {
    violations.add(rule, words);
  }

  /** All is at rest: what must be true by now is looked at. */
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
