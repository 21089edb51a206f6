package tillerlink.peering;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipListener;

/**
 * Logs changes of the membership, at a bounded rate: a network fault may make hundreds of members
 * come and go at once. Used by the event loop's thread.
 */
final class MembershipLogger {
  private static final Logger LOG = LoggerFactory.getLogger(Peering.class);
  private static final int MAX_LINES_PER_INTERVAL = 40;

  /** Tenths of a millisecond. */
  private static final long INTERVAL = 100_000;

  private long intervalStart = Long.MIN_VALUE;
  private int lines;
  private long suppressed;

  /** Logs that another member's reachability changed. */
  void logReachability(long now, String name, Reachability before, Reachability after) {
    if (intervalStart == Long.MIN_VALUE || now >= intervalStart + INTERVAL) {
      if (suppressed > 0) {
        LOG.info("members: {} more changes, not logged one by one", suppressed);
      }
      intervalStart = now;
      lines = 0;
      suppressed = 0;
    }
    if (lines++ < MAX_LINES_PER_INTERVAL) {
      LOG.info("member {} is {}, was {}", name, describe(after), describe(before));
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

  /** Logs a warning that comes at a bounded rate already. */
  void warn(String line) {
    LOG.warn(line);
  }

  /**
   * The listener that logs.
   *
   * @param now the time of the event loop, in tenths of a millisecond
   * @param onIncarnation takes this gateway's own incarnation when it changes
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
