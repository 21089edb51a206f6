package tillerlink.operator;

import java.util.List;

/**
 * The settings of the block {@code channels}: the channel logs that gateways share. Times are
 * tenths of a millisecond.
 *
 * @param sites all member sites; an entry is stable once every site is known to have passed its
 *     position
 * @param voters the gateways that agree on which entries are stable, one of each member site
 * @param absentAfter the time without contact after which a site is no longer counted for stability
 * @param maxAhead the maximum time by which a timestamp may be ahead of this gateway's clock
 * @param maxMemory the maximum size in memory of all channels together, in bytes
 * @param maxDisk the maximum size on disk of all channels together, in bytes
 * @param maxChannels the maximum number of channels
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

  /**
   * Reads the block.
   *
   * @return null if the block is absent
   */
  static ChannelsConfig read(Section section) {
    if (section == null) {
      return null;
    }
    List<String> sites = NameRules.readList(section, "sites", MAX_SITES);
    ChannelsConfig channels =
        new ChannelsConfig(
            sites,
            readVoters(section, sites),
            Math.round(
                section.number("absent_after_s", 1, 7 * Units.DAY_S, 300) * Units.TENTHS_PER_S),
            Math.round(section.number("ahead_ms", 1, 3_600_000, 60_000) * Units.TENTHS_PER_MS),
            section.integer("memory_mb", 1, 1 << 16, 64) << 20,
            section.integer("disk_mb", 1, 1 << 20, 1024) << 20,
            (int) section.integer("channels_most", 1, 10_000, 64));
    section.reportUnknown();
    return channels;
  }

  /** Returns the voters; if the file lists none, the gateway "SITE-1" of each site. */
  private static List<String> readVoters(Section section, List<String> sites) {
    List<String> given =
        NameRules.distinct(section, "voters", section.strings("voters", false), MAX_SITES);
    return given.isEmpty()
        ? sites.stream().map(site -> site + DEFAULT_VOTER_SUFFIX).toList()
        : given;
  }
}
