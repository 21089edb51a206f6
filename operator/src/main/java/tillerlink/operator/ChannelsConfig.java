package tillerlink.operator;

import java.util.List;

/**
 * The block <code>channels</code>: the channel logs that gateways share. Times are tenths of a
 * millisecond.
 *
 * @param sites all member sites: an entry is stable once each site has been heard beyond it
 * @param voters the gateways that agree on what is stable, one of each member site
 * @param absentAfter the time without contact after which a site no longer counts
 * @param maxAhead how far a timestamp may be ahead of this gateway's clock
 * @param maxMemory bytes in memory, of all channels together
 * @param maxDisk bytes on disk, of all channels together
 * @param maxChannels how many channels there may be
 */
public record ChannelsConfig(
    List<String> sites,
    List<String> voters,
    long absentAfter,
    long maxAhead,
    long maxMemory,
    long maxDisk,
    int maxChannels) {
  private static final int MAX_SITES = 64;
  private static final String DEFAULT_VOTER_SUFFIX = "-1";

  static ChannelsConfig read(Section section) {
    if (section == null) {
      return null;
    }
    List<String> sites = NameRules.list(section, "sites", MAX_SITES);
    ChannelsConfig channels =
        new ChannelsConfig(
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

  /** The voters; if the file names none, the gateway "SITE-1" of each site. */
  private static List<String> voters(Section section, List<String> sites) {
    List<String> given =
        NameRules.distinct(section, "voters", section.texts("voters", false), MAX_SITES);
    return given.isEmpty()
        ? sites.stream().map(site -> site + DEFAULT_VOTER_SUFFIX).toList()
        : given;
  }
}
