package tillerlink.members.measure;

import java.util.function.Consumer;

/** What else could tell who is there, as far as it is measured cheaply. */
final class Others {
  private Others() {}

  static void say(Consumer<String> out) {
    out.accept(
        "\n"
            + "| every 500 ms to all | members | lost | given up by each: p50 | p99 | max | living"
            + " given up, each hour and member | bytes a second, each sent |");
    out.accept("|---|---|---|---|---|---|---|---|");
    for (int size : new int[] {30, 120}) {
      for (double lost : new double[] {0, 0.3}) {
        out.accept(Heartbeats.play(size, lost, false));
        out.accept(Heartbeats.play(size, lost, true));
      }
    }
  }
}
