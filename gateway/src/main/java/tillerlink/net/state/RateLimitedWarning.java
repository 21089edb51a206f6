package tillerlink.net.state;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.plain.Units;

/**
 * Logs warnings, but at most a line a second: trouble that repeats must not fill the log. Owned by
 * the event-loop thread.
 */
final class RateLimitedWarning {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
  private static final long EVERY = 1000 * Units.TENTHS_PER_MS;

  private long nextAt;
  private long suppressed;

  void warn(long now, String line) {
    if (now < nextAt) {
      suppressed++;
      return;
    }
    LOG.warn(suppressed == 0 ? line : line + " (" + suppressed + " lines suppressed)");
    nextAt = now + EVERY;
    suppressed = 0;
  }
}
