package tillerlink.peering.statements;

import java.util.function.LongSupplier;
import tillerlink.net.state.GatewayExtension;
import tillerlink.statements.Statements;
import tillerlink.statements.run.Permission;
import tillerlink.statements.run.Prepared;

/**
 * Checked before and after each attempt of a prepared run is written: whether the statement may
 * still run as it was prepared. Used by the event loop's thread.
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

  /** Reads the clock anew, since the process may have been paused. */
  @Override
  public boolean holds() {
    if (statements.checkRun(clock.getAsLong(), prepared) instanceof Permission.Denied denied) {
      retryAfter = denied.retryAfter();
      return false;
    }
    return true;
  }

  /** Tenths of a millisecond; as of the last check that failed. */
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
