package tillerlink.channels;

import java.util.List;

/**
 * What the operator says about the channels' logs.
 *
 * @param counted names of the gateways, one for each site that is counted in, that agree on what is
 *     stable
 * @param absentAfter tenths of a millisecond after which the others go on without one that was not
 *     heard
 * @param aheadMillis milliseconds that a stamp may be ahead of what the fleet believes the time to
 *     be
 * @param bytes room for events, in memory and on disk
 * @param cutsMost agreed steps after which the oldest go into the sum
 * @param most channels at once
 */
public record Terms(
    List<String> counted, long absentAfter, long aheadMillis, long bytes, int cutsMost, int most) {
  private static final int CUTS_USUAL = 16_384;

  public Terms {
    counted = counted.stream().map(Terms::gateway).distinct().sorted().toList();
    if (counted.isEmpty() || counted.size() > 64) {
      throw new IllegalArgumentException("1 to 64 gateways are counted in");
    }
  }

  public static Terms of(List<String> counted) {
    return new Terms(counted, 300_000, 60_000, 256L << 20, CUTS_USUAL, 64);
  }

  public static Terms of(
      List<String> counted, long absentAfter, long aheadMillis, long bytes, int most) {
    return new Terms(counted, absentAfter, aheadMillis, bytes, CUTS_USUAL, most);
  }

  /** A counted site may be written as SITE/GATEWAY. */
  private static String gateway(String counted) {
    return counted.substring(counted.lastIndexOf('/') + 1);
  }
}
