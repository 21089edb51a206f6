package tillerlink.net.state;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.plain.Units;

/** Warns, but at most a line a second: trouble that repeats must not fill the log. */
final class RateLimitedWarning {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
  private static final long EVERY = 1000 * Units.TENTHS_PER_MS;

  private long nextAt;
  private long leftOut;

  void warn(long now, String line) {
    if (now < nextAt) {
      leftOut++;
      return;
    }
    LOG.warn(leftOut == 0 ? line : line + " (" + leftOut + " lines left out)");
    nextAt = now + EVERY;
    leftOut = 0;
  }
}
