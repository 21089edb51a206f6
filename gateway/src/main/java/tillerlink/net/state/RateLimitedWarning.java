package tillerlink.net.state;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.plain.Units;

/**
 * A log for warnings that writes at most one line a second, so that a repeated fault does not fill
 * the log. Confined to the event-loop thread; all times are tenths of a millisecond.
 */
final class RateLimitedWarning {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
  private static final long MIN_INTERVAL = 1000 * Units.TENTHS_PER_MS;

  private long nextAllowedAt;
  private long suppressed;

  /**
   * Logs a warning, or counts it as suppressed if the last line was logged less than a second ago.
   * The next line that is logged contains the count.
   *
   * @param now the current time, in tenths of a millisecond
   */
  void warn(long now, String message) {
    if (now < nextAllowedAt) {
      suppressed++;
      return;
    }
    LOG.warn(suppressed == 0 ? message : message + " (" + suppressed + " lines suppressed)");
    nextAllowedAt = now + MIN_INTERVAL;
    suppressed = 0;
  }
}
