package tillerlink.channels.quota;

import tillerlink.channels.journal.ChannelLog;
import tillerlink.channels.journal.Journal;

/**
 * Shares the quota for events. Half of it is for provisional events, as those can't be compacted;
 * each gateway may fill an equal part of that, so that the events of all of them fit after a
 * partition. Once its part is half full, a gateway refuses appends to channels that hold more than
 * their equal share of it, one more channel counted.
 */
public final class StorageQuota {
  /** Tenths of a millisecond after which to retry; nothing becomes stable any sooner. */
  public static final long RETRY_AFTER = 50_000;

  private static final int PROVISIONAL_PARTS = 2;
  private static final int FREE_PARTS = 4;

  private final long bytes;

  /**
   * Makes a quota.
   *
   * @param bytes what all events may take, in memory and on disk
   */
  public StorageQuota(long bytes) {
    this.bytes = bytes;
  }

  /** Returns the bytes of events beyond which the oldest stable ones are compacted. */
  public long compactBeyond() {
    return bytes - bytes / FREE_PARTS;
  }

  /**
   * Whether an event of a channel may be appended.
   *
   * @param weight bytes of the event
   * @param gateways how many gateways write, this one included
   * @param pending bytes of events that are not durable yet
   */
  public boolean allows(Journal journal, String channel, int weight, int gateways, long pending) {
    long part = bytes / PROVISIONAL_PARTS / Math.max(1, gateways);
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
