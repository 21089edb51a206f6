package tillerlink.operator;

import java.util.List;

/**
 * The part <code>channels</code>: the logs of channels that gateways share. Times are tenths of a
 * millisecond.
 *
 * @param sites all sites that are counted in: an entry is stable once each was heard beyond it
 * @param voters the gateways that agree on what is stable, one of each site that is counted in
 * @param absentAfter a site not heard of for that long is gone on without
 * @param aheadMost how far a stamp may run ahead of this gateway's clock
 * @param memoryMost bytes in memory, of all channels together
 * @param diskMost bytes on disk, of all channels together
 * @param most channels at once
 */
public record Channels(
    List<String> sites,
    List<String> voters,
    long absentAfter,
    long aheadMost,
    long memoryMost,
    long diskMost,
    int most) {
  private static final int SITES_MOST = 64;
  private static final String FIRST = "-1";

  static Channels read(Section section) {
    if (section == null) {
      return null;
    }
    List<String> sites = Names.list(section, "sites", SITES_MOST);
    Channels channels =
        new Channels(
            sites,
            voters(section, sites),
            Math.round(
                section.number("absent_after_s", 1, 7 * Units.DAY_S, 300) * Units.TENTHS_PER_S),
            Math.round(section.number("ahead_ms", 1, 3_600_000, 60_000) * Units.TENTHS_PER_MS),
            section.whole("memory_mb", 1, 1 << 16, 64) << 20,
            section.whole("disk_mb", 1, 1 << 20, 1024) << 20,
            (int) section.whole("channels_most", 1, 10_000, 64));
    section.close();
    return channels;
  }

  /**
   * Where the file names none, the gateway of each site that is called after it with a -1 behind.
   */
  private static List<String> voters(Section section, List<String> sites) {
    List<String> given =
        Names.distinct(section, "voters", section.texts("voters", false), SITES_MOST);
    return given.isEmpty() ? sites.stream().map(site -> site + FIRST).toList() : given;
  }
}
