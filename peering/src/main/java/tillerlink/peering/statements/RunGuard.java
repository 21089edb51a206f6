package tillerlink.peering.statements;

import java.util.function.LongSupplier;
import tillerlink.net.state.GatewayExtension;
import tillerlink.statements.Statements;
import tillerlink.statements.run.Permission;
import tillerlink.statements.run.Prepared;

/**
 * The guard of a run of a prepared statement. It is checked before and after each attempt is
 * written, and holds while the statement may still run as it was prepared. Used by the event loop's
 * thread.
 */
final class RunGuard implements GatewayExtension.Guard {
  private final Statements statements;
  private final Prepared prepared;
  private final LongSupplier clock;
  private long retryAfter;

  RunGuard(Statements statements, Prepared prepared, LongSupplier clock) {
    this.statements = statements;
    this.prepared = prepared;
    this.clock = clock;
  }

  /**
   * Returns whether the statement may still run as it was prepared. Reads the clock at each call,
   * because the process may have been paused since the last one.
   */
  @Override
  public boolean holds() {
    if (statements.checkRun(clock.getAsLong(), prepared) instanceof Permission.Denied denied) {
      retryAfter = denied.retryAfter();
      return false;
    }
    return true;
  }

  /**
   * Returns the time after which the client should retry, as of the last failed check.
   *
   * @return tenths of a millisecond; 0 for no advice
   */
  @Override
  public long retryAfter() {
    return retryAfter;
  }

  @Override
  public void onAttemptStarted() {
    statements.onAttemptStarted(prepared);
  }

  @Override
  public void onAttemptEnded(long mayRunUntil) {
    statements.onAttemptEnded(clock.getAsLong(), prepared, mayRunUntil);
  }
}
