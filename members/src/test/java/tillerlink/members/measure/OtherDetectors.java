package tillerlink.members.measure;

import java.util.function.Consumer;

/** Measures other failure detectors that are cheap to simulate. */
final class OtherDetectors {
  private OtherDetectors() {}

  static void report(Consumer<String> out) {
    out.accept(
        "\n"
            + "| heartbeat every 500 ms | members | lost | detected by each: p50 | p99 | max | live"
            + " members declared failed, per hour and member | bytes sent per second and member |");
    out.accept("|---|---|---|---|---|---|---|---|");
    for (int size : new int[] {30, 120}) {
      for (double lossRate : new double[] {0, 0.3}) {
        out.accept(HeartbeatDetector.measure(size, lossRate, false));
        out.accept(HeartbeatDetector.measure(size, lossRate, true));
      }
    }
  }
}
