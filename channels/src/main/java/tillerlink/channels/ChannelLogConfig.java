package tillerlink.channels;

import java.util.List;

/**
 * The operator's settings for the replicated logs of channels.
 *
 * @param counted the names of the 1 to 64 gateways, one for each counted site, that may vote on
 *     which events are stable; sorted, without duplicates
 * @param absentAfter the time without progress, in tenths of a millisecond, after which the other
 *     gateways no longer wait for a gateway
 * @param aheadMillis the most milliseconds by which an event's stamp may be ahead of the fleet's
 *     time, which is the median of the gateways' clocks
 * @param bytes the quota for events in bytes, in memory and on disk
 * @param maxSlots the number of applied slots beyond which the oldest are compacted
 * @param maxChannels the maximum number of channels
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
   * Creates the settings. Strips the site from names of the form SITE/GATEWAY, removes duplicates
   * and sorts the names.
   *
   * @throws IllegalArgumentException if {@code counted} has no name or more than 64
   */
  public ChannelLogConfig {
    counted = counted.stream().map(ChannelLogConfig::gatewayName).distinct().sorted().toList();
    if (counted.isEmpty() || counted.size() > MAX_COUNTED) {
      throw new IllegalArgumentException(
          "expected 1 to 64 counted gateways, got " + counted.size());
    }
  }

  /** Returns settings with the given counted gateways and defaults for everything else. */
  public static ChannelLogConfig of(List<String> counted) {
    return new ChannelLogConfig(
        counted,
        DEFAULT_ABSENT_AFTER,
        DEFAULT_AHEAD_MILLIS,
        DEFAULT_BYTES,
        DEFAULT_MAX_SLOTS,
        DEFAULT_MAX_CHANNELS);
  }

  /**
   * Returns settings with the default for {@code maxSlots}; see the record for the parameters'
   * units.
   */
  public static ChannelLogConfig of(
      List<String> counted, long absentAfter, long aheadMillis, long bytes, int maxChannels) {
    return new ChannelLogConfig(
        counted, absentAfter, aheadMillis, bytes, DEFAULT_MAX_SLOTS, maxChannels);
  }

  private static String gatewayName(String qualifiedName) {
    return qualifiedName.substring(qualifiedName.lastIndexOf('/') + 1);
  }
}
