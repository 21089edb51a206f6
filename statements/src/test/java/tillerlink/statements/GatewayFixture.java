package tillerlink.statements;

import java.util.ArrayDeque;
import java.util.function.LongSupplier;
import tillerlink.cluster.ClusterComponent;

/**
 * One gateway process of a test cluster. It drives its prepared statements by its own clock, and
 * defers actions on attempts while it is paused.
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
   * Creates a process without prepared statements; {@link #setStatements} sets them.
   *
   * @param name the name of the gateway
   * @param process a name that differs from those of other processes of the same gateway
   * @param clockRate the rate of its clock relative to true time
   */
  GatewayFixture(
      String name, String process, double clockRate, LongSupplier trueTime, Audit audit) {
    this.name = name;
    this.process = process;
    this.clockRate = clockRate;
    this.trueTime = trueTime;
    this.audit = audit;
  }

  void setStatements(Statements component) {
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

  /** Converts a true time to the time of this process's clock. */
  long toLocal(long time) {
    return (long) (time * clockRate);
  }

  /** Returns the current time of this process's clock. */
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

  /** Defers the action until the process is resumed. */
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
    audit.onCatalogUpdated(trueTime.getAsLong(), process, statements);
  }

  @Override
  public void tick(long now, long wall) {
    statements.tick(toLocal(now), wall);
    audit.onCatalogUpdated(trueTime.getAsLong(), process, statements);
  }

  @Override
  public long nextDueAt() {
    long due = statements.nextDueAt();
    return due == Long.MAX_VALUE ? due : (long) Math.ceil(due / clockRate) + 1;
  }

  @Override
  public void onPause(long now, long wall, long duration) {
    statements.onPause(toLocal(now), wall, duration);
  }
}
