package tillerlink.members.config;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A log that writes at most one line of each kind in ten seconds. The next line of the same kind
 * reports how many lines were suppressed. Times are tenths of a millisecond.
 */
public final class RateLimitedLog {
  /** The subject of a log line. */
  public enum Kind {
    /** A message could not be decoded. */
    MALFORMED,
    /** The member table is full. */
    FULL,
    /** Another process may use the local member's name. */
    RIVAL,
    /** This process was paused. */
    AWAY,
    /** Another process keeps the local member's name. */
    OWN
  }

  private static final long INTERVAL = 100_000;

  private static final class KindState {
    long loggedAt = Long.MIN_VALUE / 2;
    long suppressed;
  }

  private final Map<Kind, KindState> states = new EnumMap<>(Kind.class);
  private final Consumer<String> log;

  /**
   * Creates a log.
   *
   * @param log receives the lines that are not suppressed
   */
  public RateLimitedLog(Consumer<String> log) {
    this.log = log;
  }

  /**
   * Logs a line, or counts it as suppressed if a line of its kind was logged in the last ten
   * seconds.
   *
   * @param now the monotonic time, in tenths of a millisecond
   */
  public void log(Kind kind, long now, String line) {
    KindState state = states.computeIfAbsent(kind, any -> new KindState());
    if (now - state.loggedAt < INTERVAL) {
      state.suppressed++;
      return;
    }
    state.loggedAt = now;
    log.accept(
        state.suppressed == 0
            ? line
            : line + " (" + state.suppressed + " similar lines suppressed)");
    state.suppressed = 0;
  }
}
