package tillerlink.peering.statements;

import java.util.function.LongSupplier;
import tillerlink.net.state.GatewayExtension;
import tillerlink.statements.Statements;
import tillerlink.statements.run.Permission;
import tillerlink.statements.run.Prepared;

/**
 * Asked before each attempt of a prepared run is written and after: whether the statement still
 * stands as it was taken.
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

  /** By the clock as it is now, since a pause may lie before. */
  @Override
  public boolean holds() {
    if (statements.checkRun(clock.getAsLong(), prepared) instanceof Permission.Denied denied) {
      retryAfter = denied.retryAfter();
      return false;
    }
    return true;
  }

  /** In tenths of a millisecond. */
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
