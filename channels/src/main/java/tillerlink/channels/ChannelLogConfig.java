package tillerlink.channels;

import java.util.List;

/**
 * The operator's settings for the logs of channels.
 *
 * @param counted names of the gateways, one for each counted site, that decide what is stable
 * @param absentAfter tenths of a millisecond after which the others go on without a gateway that
 *     was silent
 * @param aheadMillis milliseconds that a stamp may be ahead of what the fleet believes the time to
 *     be
 * @param bytes the quota for events, in memory and on disk
 * @param maxSlots applied slots after which the oldest are compacted
 * @param maxChannels channels at the most
 */
public record ChannelLogConfig(
    List<String> counted,
    long absentAfter,
    long aheadMillis,
    long bytes,
    int maxSlots,
    int maxChannels) {
  private static final int MAX_COUNTED = 64;
  private static final int DEFAULT_MAX_SLOTS = 16_384;
  private static final long DEFAULT_ABSENT_AFTER = 300_000;
  private static final long DEFAULT_AHEAD_MILLIS = 60_000;
  private static final long DEFAULT_BYTES = 256L << 20;
  private static final int DEFAULT_MAX_CHANNELS = 64;

  /**
   * Sorts the counted gateways; one may be written as SITE/GATEWAY.
   *
   * @throws IllegalArgumentException if none is counted, or too many are
   */
  public ChannelLogConfig {
    counted = counted.stream().map(ChannelLogConfig::gateway).distinct().sorted().toList();
    if (counted.isEmpty() || counted.size() > MAX_COUNTED) {
      throw new IllegalArgumentException("1 to 64 gateways are counted in");
    }
  }

  /** Returns the default settings for some counted gateways. */
  public static ChannelLogConfig of(List<String> counted) {
    return new ChannelLogConfig(
        counted,
        DEFAULT_ABSENT_AFTER,
        DEFAULT_AHEAD_MILLIS,
        DEFAULT_BYTES,
        DEFAULT_MAX_SLOTS,
        DEFAULT_MAX_CHANNELS);
  }

  /** Returns settings with the default number of slots that are not compacted. */
  public static ChannelLogConfig of(
      List<String> counted, long absentAfter, long aheadMillis, long bytes, int maxChannels) {
    return new ChannelLogConfig(
        counted, absentAfter, aheadMillis, bytes, DEFAULT_MAX_SLOTS, maxChannels);
  }

  private static String gateway(String counted) {
    return counted.substring(counted.lastIndexOf('/') + 1);
  }
}
