package tillerlink.audit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import tillerlink.fleet.Fleet;

/** The auditor's state of an engine that is up. */
final class AuditedEngine {
  private final int kind;
  private final SlowStartWindow slowStart;
  private final Map<Integer, Long> withdrawnAt = new HashMap<>();

  /**
   * Creates the state of an engine.
   *
   * @param kind an index into the fleet's engine kinds
   * @param startedAt the start of the engine, in tenths of a millisecond; 0 or less means that it
   *     started long ago and has warmed up
   */
  AuditedEngine(Fleet fleet, int kind, long startedAt) {
    this.kind = kind;
    slowStart = new SlowStartWindow(fleet, kind, startedAt);
  }

  int kind() {
    return kind;
  }

  SlowStartWindow slowStart() {
    return slowStart;
  }

  /** Records that a gateway was notified that the engine is draining or gone. */
  void onWithdrawn(int gateway, long now) {
    withdrawnAt.putIfAbsent(gateway, now);
  }

  /**
   * Returns when a gateway was first notified that the engine is draining or gone.
   *
   * @return tenths of a millisecond, empty if the gateway was not notified
   */
  OptionalLong withdrawnAt(int gateway) {
    Long notifiedAt = withdrawnAt.get(gateway);
    return notifiedAt == null ? OptionalLong.empty() : OptionalLong.of(notifiedAt);
  }

  /** Removes the notification of a gateway that was killed. */
  void removeGateway(int gateway) {
    withdrawnAt.remove(gateway);
  }
}
