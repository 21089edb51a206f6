package tillerlink.statements;

import java.util.Map;
import java.util.SplittableRandom;
import tillerlink.simulation.SimulatedFleet;
import tillerlink.statements.run.Permission;
import tillerlink.statements.run.Prepared;

/**
 * The simulated runs of prepared statements on a test cluster, from the request to the end of the
 * attempt on the engine. Times are in tenths of a millisecond.
 */
final class SimulatedRuns {
  private static final int WRITE_DELAY_MAX = 30;
  private static final int EXECUTION_MIN = 20;
  private static final int EXECUTION_SPREAD = 400;
  private static final int UNCERTAINTY_MAX = 5000;

  private final SimulatedFleet fleet;
  private final Map<String, GatewayFixture> gateways;
  private final Audit audit;
  private final SplittableRandom random;
  private final SplittableRandom uncertainty;
  private double uncertainShare;
  private long executionTime;

  /**
   * Creates runs for gateways that may start and stop.
   *
   * @param gateways the running gateways by name; changes of the map are followed
   * @param uncertainty draws which attempts end at their gateways before their engines are done; it
   *     is separate from the other generator so that the share of such attempts changes no other
   *     draw
   */
  SimulatedRuns(
      SimulatedFleet fleet,
      Map<String, GatewayFixture> gateways,
      Audit audit,
      SplittableRandom random,
      SplittableRandom uncertainty) {
    this.fleet = fleet;
    this.gateways = gateways;
    this.audit = audit;
    this.random = random;
    this.uncertainty = uncertainty;
  }

  void setUncertainShare(double share) {
    uncertainShare = share;
  }

  void setExecutionTime(long time) {
    executionTime = time;
  }

  /**
   * Requests a run of a statement. The permission is checked on arrival and again when the attempt
   * is written, up to 3 ms later.
   */
  void run(String at, String name) {
    GatewayFixture gateway = gateways.get(at);
    if (gateway == null || gateway.isPaused()) {
      return;
    }
    Prepared prepared = gateway.statements().lookUp(name).orElse(null);
    fleet.reschedule(at);
    if (prepared == null
        || gateway.statements().checkRun(gateway.localNow(), prepared)
            instanceof Permission.Denied) {
      audit.onRejected();
      return;
    }
    fleet.at(fleet.now() + random.nextInt(WRITE_DELAY_MAX), () -> writeAttempt(gateway, prepared));
  }

  private void writeAttempt(GatewayFixture gateway, Prepared prepared) {
    if (gateways.get(gateway.name()) != gateway) {
      return;
    }
    if (gateway.isPaused()) {
      gateway.defer(() -> writeAttempt(gateway, prepared));
    } else if (gateway.statements().checkRun(gateway.localNow(), prepared)
        instanceof Permission.Granted granted) {
      gateway.statements().onAttemptStarted(prepared);
      audit.onRun(fleet.now(), gateway.name(), prepared);
      execute(gateway, prepared, (long) Math.floor(granted.until() / gateway.clockRate()));
    } else {
      audit.onCancelled();
    }
  }

  /**
   * Simulates the execution of an attempt by an engine. The gateway either learns of its end, or
   * ends the attempt earlier while the engine may still execute it.
   */
  private void execute(GatewayFixture gateway, Prepared prepared, long leaseUntil) {
    Audit.Attempt attempt = audit.onExecutionStarted(gateway.name(), prepared, leaseUntil);
    long duration =
        executionTime > 0 ? executionTime : EXECUTION_MIN + random.nextInt(EXECUTION_SPREAD);
    long doneAt = fleet.now() + duration;
    if (uncertainShare > 0 && uncertainty.nextDouble() < uncertainShare) {
      long mayRunUntil = doneAt + uncertainty.nextInt(UNCERTAINTY_MAX);
      fleet.at(doneAt, () -> endAttempt(gateway, prepared, mayRunUntil));
      fleet.at(mayRunUntil, () -> audit.onExecutionEnded(attempt));
    } else {
      fleet.at(
          doneAt,
          () -> {
            audit.onExecutionEnded(attempt);
            endAttempt(gateway, prepared, 0);
          });
    }
  }

  private void endAttempt(GatewayFixture gateway, Prepared prepared, long mayRunUntil) {
    if (gateways.get(gateway.name()) != gateway) {
      return;
    }
    if (gateway.isPaused()) {
      gateway.defer(() -> endAttempt(gateway, prepared, mayRunUntil));
      return;
    }
    long limit = mayRunUntil == 0 ? 0 : Math.max(1, gateway.toLocal(mayRunUntil));
    gateway.statements().onAttemptEnded(gateway.localNow(), prepared, limit);
    fleet.reschedule(gateway.name());
  }
}
