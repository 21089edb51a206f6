package tillerlink.members.config;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Lines for the log, of each kind at most one in ten seconds; the next one says how many were left
 * out.
 */
public final class RateLimitedLog {
  /** What a line is about. */
  public enum Kind {
    MALFORMED,
    FULL,
    RIVAL,
    AWAY,
    OWN
  }

  private static final long APART = 100_000;

  private static final class Last {
    long at = Long.MIN_VALUE / 2;
    long held;
  }

  private final Map<Kind, Last> lasts = new EnumMap<>(Kind.class);
  private final Consumer<String> log;

  public RateLimitedLog(Consumer<String> log) {
    this.log = log;
  }

  public void line(Kind kind, long now, String words) {
    Last last = lasts.computeIfAbsent(kind, any -> new Last());
    if (now - last.at < APART) {
      last.held++;
      return;
    }
    last.at = now;
    log.accept(last.held == 0 ? words : words + " (" + last.held + " like it before)");
    last.held = 0;
  }
}
