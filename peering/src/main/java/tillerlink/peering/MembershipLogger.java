package tillerlink.peering;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipListener;

/**
 * Logs what changes among the members. Guards the log against a network that makes hundreds come
 * and go at once.
 */
final class MembershipLogger {
  private static final Logger LOG = LoggerFactory.getLogger(Peering.class);
  private static final int AT_ONCE = 40;
  private static final long EVERY = 100_000;

  private long since = Long.MIN_VALUE;
  private int written;
  private long leftOut;

  /** How another stands now. */
  void reach(long now, String name, Reachability was, Reachability is) {
    if (since == Long.MIN_VALUE || now >= since + EVERY) {
      if (leftOut > 0) {
        LOG.info("members: {} more changes, not told one by one", leftOut);
      }
      since = now;
      written = 0;
      leftOut = 0;
    }
    if (written++ < AT_ONCE) {
      LOG.info("member {} is {}, was {}", name, word(is), word(was));
    } else {
      leftOut++;
    }
  }

  private static String word(Reachability reach) {
    return switch (reach) {
      case REACHABLE -> "reachable";
      case THROUGH_OTHERS -> "reachable through others";
      case SUSPECTED -> "suspected";
      case GONE -> "gone";
      case LEFT -> "left";
    };
  }

  /** A line that comes at a bounded rate already. */
  void line(String words) {
    LOG.warn(words);
  }

  /** As members tell of it. */
  MembershipListener watching(LongSupplier now, LongConsumer incarnation) {
    return new MembershipListener() {
      @Override
      public void onReachabilityChanged(String name, Reachability was, Reachability is) {
        MembershipLogger.this.reach(now.getAsLong(), name, was, is);
      }

      @Override
      public void onProcessReplaced(String name, long own) {
        LOG.info("member {} was started anew, incarnation {}", name, own);
      }

      @Override
      public void onOwnIncarnationChanged(long own) {
        incarnation.accept(own);
      }

      @Override
      public void onNameLost() {
        LOG.error(
            "another process has this gateway's name and keeps it: this one takes part no more");
      }

      @Override
      public void log(String words) {
        MembershipLogger.this.line(words);
      }
    };
  }
}
