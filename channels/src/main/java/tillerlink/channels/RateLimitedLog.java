package tillerlink.channels;

import java.util.TreeMap;
import java.util.function.Consumer;

/** A log that limits the rate of each kind of line. */
final class RateLimitedLog {
  /** The least time between two lines of the same kind, in tenths of a millisecond. */
  private static final long MIN_INTERVAL = 100_000;

  /** Lines of further kinds are dropped. */
  private static final int MAX_KINDS = 1024;

  private final Consumer<String> sink;
  private final TreeMap<String, Long> loggedAt = new TreeMap<>();

  RateLimitedLog(Consumer<String> sink) {
    this.sink = sink;
  }

  /**
   * Logs a line, unless a line of the same kind was logged less than 10 s before.
   *
   * @param now the time in tenths of a millisecond
   * @param kind identifies the kind of line; not part of the logged text
   */
  void log(long now, String kind, String line) {
    Long previous = loggedAt.get(kind);
    if (previous == null ? loggedAt.size() < MAX_KINDS : now - previous >= MIN_INTERVAL) {
      loggedAt.put(kind, now);
      sink.accept(line);
    }
  }
}
