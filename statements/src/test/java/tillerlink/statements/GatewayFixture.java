package tillerlink.statements;

import java.util.ArrayDeque;
import java.util.function.LongSupplier;
import tillerlink.cluster.ClusterComponent;

/**
 * One process of a test cluster: its part of prepared statements by its own clock, and the attempts
 * that wait to be written while it is paused.
 */
final class GatewayFixture implements ClusterComponent {
  private final String name;
  private final String process;
  private final double clockRate;
  private final LongSupplier trueTime;
  private final Audit audit;
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
  private Statements statements;
  private boolean paused;

  /**
   * Sets up a process.
   *
   * @param process tells it apart from other processes of the same gateway
   * @param clockRate how much faster than true time its clock runs
   */
  GatewayFixture(
      String name, String process, double clockRate, LongSupplier trueTime, Audit audit) {
    this.name = name;
    this.process = process;
    this.clockRate = clockRate;
    this.trueTime = trueTime;
    this.audit = audit;
  }

  void run(Statements component) {
    statements = component;
  }

  String name() {
    return name;
  }

  Statements statements() {
    return statements;
  }

  double clockRate() {
    return clockRate;
  }

  /** What its clock shows at that true time. */
  long toLocal(long time) {
    return (long) (time * clockRate);
  }

  /** What its clock shows now. */
  long localNow() {
    return toLocal(trueTime.getAsLong());
  }

  boolean isPaused() {
    return paused;
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
  }

  /** Runs the action once the process is resumed. */
  void defer(Runnable action) {
    deferred.add(action);
  }

  void runDeferred() {
    while (!deferred.isEmpty()) {
      deferred.poll().run();
    }
  }

  @Override
  public void onMessage(long now, long wall, String from, byte[] body) {
    statements.onMessage(toLocal(now), wall, from, body);
    audit.onStep(trueTime.getAsLong(), process, statements);
  }

  @Override
  public void tick(long now, long wall) {
    statements.tick(toLocal(now), wall);
    audit.onStep(trueTime.getAsLong(), process, statements);
  }

  @Override
  public long nextDueAt() {
    long due = statements.nextDueAt();
    return due == Long.MAX_VALUE ? due : (long) Math.ceil(due / clockRate) + 1;
  }

  @Override
  public void onPause(long now, long wall, long lasted) {
    statements.onPause(toLocal(now), wall, lasted);
  }
}
