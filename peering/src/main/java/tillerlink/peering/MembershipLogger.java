package tillerlink.peering;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipListener;

/**
 * Logs changes of the membership at a bounded rate, because a network fault can change the
 * reachability of hundreds of members at once. Used by the event loop's thread.
 */
final class MembershipLogger {
  private static final Logger LOG = LoggerFactory.getLogger(Peering.class);
  private static final int MAX_LINES_PER_INTERVAL = 40;

  /** The interval of the rate limit, in tenths of a millisecond. */
  private static final long LOG_INTERVAL = 100_000;

  private long intervalStart = Long.MIN_VALUE;
  private int lines;
  private long suppressed;

  /**
   * Logs a change of another member's reachability, or counts it as suppressed if the rate limit is
   * reached.
   *
   * @param now the time of the event loop, in tenths of a millisecond
   */
  void logReachability(long now, String name, Reachability before, Reachability after) {
    if (intervalStart == Long.MIN_VALUE || now >= intervalStart + LOG_INTERVAL) {
      if (suppressed > 0) {
        LOG.info("members: {} more reachability changes were not logged individually", suppressed);
      }
      intervalStart = now;
      lines = 0;
      suppressed = 0;
    }
    if (lines++ < MAX_LINES_PER_INTERVAL) {
      LOG.info("member {} changed to {} from {}", name, describe(after), describe(before));
    } else {
      suppressed++;
    }
  }

  private static String describe(Reachability reachability) {
    return switch (reachability) {
      case REACHABLE -> "reachable";
      case THROUGH_OTHERS -> "reachable through others";
      case SUSPECTED -> "suspected";
      case GONE -> "gone";
      case LEFT -> "left";
    };
  }

  /** Logs a warning whose rate the caller already limits. */
  void warn(String line) {
    LOG.warn(line);
  }

  /**
   * Returns a membership listener that logs the events it receives.
   *
   * @param now the time of the event loop, in tenths of a millisecond
   * @param onIncarnation called with this gateway's own incarnation when it changes
   */
  MembershipListener listener(LongSupplier now, LongConsumer onIncarnation) {
    return new MembershipListener() {
      @Override
      public void onReachabilityChanged(String name, Reachability before, Reachability after) {
        logReachability(now.getAsLong(), name, before, after);
      }

      @Override
      public void onProcessReplaced(String name, long incarnation) {
        LOG.info("member {} was restarted, incarnation {}", name, incarnation);
      }

      @Override
      public void onOwnIncarnationChanged(long incarnation) {
        onIncarnation.accept(incarnation);
      }

      @Override
      public void onNameLost() {
        LOG.error("another process holds this gateway's name: this one has left the fleet");
      }

      @Override
      public void log(String line) {
        warn(line);
      }
    };
  }
}
