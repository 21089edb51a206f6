package tillerlink.members.measure;

import java.util.function.Consumer;

/** Other failure detectors, as far as they are measured cheaply. */
final class OtherDetectors {
  private OtherDetectors() {}

  static void report(Consumer<String> out) {
    out.accept(
        "\n"
            + "| every 500 ms to all | members | lost | given up by each: p50 | p99 | max | living"
            + " given up, each hour and member | bytes a second, each sent |");
    out.accept("|---|---|---|---|---|---|---|---|");
    for (int size : new int[] {30, 120}) {
      for (double loss : new double[] {0, 0.3}) {
        out.accept(HeartbeatDetector.measure(size, loss, false));
        out.accept(HeartbeatDetector.measure(size, loss, true));
      }
    }
  }
}
