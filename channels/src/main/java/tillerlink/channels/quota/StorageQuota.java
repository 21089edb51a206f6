package tillerlink.channels.quota;

import tillerlink.channels.journal.ChannelLog;
import tillerlink.channels.journal.Journal;

/**
 * How much there is room for, and whose. Half of the room is for events that are not agreed on yet,
 * as those can't be compacted; each gateway may fill an equal part of it, so that all of them
 * together fit in after a cut. When that part is half full, only channels that hold more than their
 * equal share of it are refused, one more channel counted.
 */
public final class StorageQuota {
  /** Asking again sooner is of no use: nothing is agreed on any faster. */
  public static final long COME_BACK = 50_000;

  private final long bytes;

  /**
   * @param bytes what all events may take in memory, and on disk
   */
  public StorageQuota(long bytes) {
    this.bytes = bytes;
  }

  /** Stable events go into the sum, oldest first, when all take more than that. */
  public long compactBeyond() {
    return bytes - bytes / 4;
  }

  /**
   * @param gateways how many write, this one counted; @param pending bytes that are being kept
   */
  public boolean takes(Journal journal, String channel, int weight, int gateways, long pending) {
    long part = bytes / 2 / Math.max(1, gateways);
    long all = pending + weight;
    int channels = 1;
    long own = pending + weight;
    for (ChannelLog log : journal.logs().values()) {
      all += log.tailBytes();
      if (log.name().equals(channel)) {
        own += log.tailBytes();
      } else if (log.tailBytes() > 0) {
        channels++;
      }
    }
    return all <= part && (all <= part / 2 || own <= part / (channels + 1));
  }
}
