package tillerlink.channels.quota;

import tillerlink.channels.journal.ChannelLog;
import tillerlink.channels.journal.Journal;

/**
 * The division of the storage quota for events between gateways and channels. Half of the quota is
 * for provisional events, because those cannot be compacted. Each gateway may fill an equal part of
 * that half, so that the events of all gateways fit together after a partition. Once its part is
 * half full, a gateway refuses appends to a channel whose events exceed an equal share of the part.
 * The share is computed with one channel more than there are, which leaves room for a further
 * channel.
 */
public final class StorageQuota {
  /**
   * The delay before a retry, in tenths of a millisecond. An earlier retry would be of no benefit,
   * because no event becomes stable any sooner.
   */
  public static final long RETRY_AFTER = 50_000;

  private static final int PROVISIONAL_DIVISOR = 2;
  private static final int FREE_DIVISOR = 4;

  private final long bytes;

  /**
   * Creates a quota.
   *
   * @param bytes the maximum size of all events, in memory and on disk
   */
  public StorageQuota(long bytes) {
    this.bytes = bytes;
  }

  /**
   * Returns the size of all events, in bytes, beyond which the oldest stable ones are compacted.
   */
  public long compactBeyond() {
    return bytes - bytes / FREE_DIVISOR;
  }

  /**
   * Returns true if an event may be appended to a channel.
   *
   * @param journal the journal whose provisional events are counted
   * @param channel the name of the channel
   * @param weight the size of the event in bytes
   * @param gateways the number of gateways that write, this one included
   * @param pending the size of the events that are not durable yet, in bytes
   */
  public boolean allows(Journal journal, String channel, int weight, int gateways, long pending) {
    long gatewayShare = bytes / PROVISIONAL_DIVISOR / Math.max(1, gateways);
    long totalBytes = pending + weight;
    int channelCount = 1;
    long channelBytes = pending + weight;
    for (ChannelLog log : journal.logs().values()) {
      totalBytes += log.tailBytes();
      if (log.name().equals(channel)) {
        channelBytes += log.tailBytes();
      } else if (log.tailBytes() > 0) {
        channelCount++;
      }
    }
    return totalBytes <= gatewayShare
        && (totalBytes <= gatewayShare / 2 || channelBytes <= gatewayShare / (channelCount + 1));
  }
}
