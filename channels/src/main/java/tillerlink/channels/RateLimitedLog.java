package tillerlink.channels;

import java.util.TreeMap;
import java.util.function.Consumer;

/** Passes lines on to the gateway's log, few of each kind. */
final class RateLimitedLog {
  /** Between two lines of one kind, in tenths of a millisecond. */
  private static final long INTERVAL = 100_000;

  private static final int MAX_KINDS = 1024;

  private final Consumer<String> lines;
  private final TreeMap<String, Long> loggedAt = new TreeMap<>();

  RateLimitedLog(Consumer<String> lines) {
    this.lines = lines;
  }

  /**
   * Logs a line, unless one of its kind was logged shortly before.
   *
   * @param now tenths of a millisecond
   */
  void log(long now, String kind, String line) {
    Long last = loggedAt.get(kind);
    if (last == null ? loggedAt.size() < MAX_KINDS : now - last >= INTERVAL) {
      loggedAt.put(kind, now);
      lines.accept(line);
    }
  }
}
