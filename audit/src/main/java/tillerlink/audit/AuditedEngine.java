package tillerlink.audit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import tillerlink.fleet.Fleet;

/** What the auditor knows of an engine that is up. */
final class AuditedEngine {
  private final int kind;
  private final SlowStartWindow slowStart;
  private final Map<Integer, Long> withdrawnAt = new HashMap<>();

  /**
   * @param kind an index of the fleet's kinds
   * @param startedAt tenths of a millisecond; long ago if not above 0
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

  void withdraw(int gateway, long now) {
    withdrawnAt.putIfAbsent(gateway, now);
  }

  /** Since when that gateway knows that the engine is draining or gone. */
  OptionalLong withdrawnAt(int gateway) {
    Long since = withdrawnAt.get(gateway);
    return since == null ? OptionalLong.empty() : OptionalLong.of(since);
  }

  void forgetGateway(int gateway) {
    withdrawnAt.remove(gateway);
  }
}
