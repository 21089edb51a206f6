package tillerlink.operator;

import java.util.List;

/**
 * The part <code>channels</code>: the logs of channels that gateways share. Times are tenths of a millisecond.
 *
 * @param sites       all sites that are counted in: an entry is stable once each was heard beyond it
 * @param absentAfter a site not heard of for that long is gone on without
 * @param aheadMost   how far a stamp may run ahead of this gateway's clock
 * @param memoryMost  bytes in memory, of all channels together
 * @param diskMost    bytes on disk, of all channels together
 * @param most        channels at once
 */
public record Channels(List<String> sites, long absentAfter, long aheadMost, long memoryMost, long diskMost,
                       int most) {
    private static final int SITES_MOST = 64;

    static Channels read(Section section) {
        if (section == null) {
            return null;
        }
        Channels channels = new Channels(Names.list(section, "sites", SITES_MOST),
                Math.round(section.number("absent_after_s", 1, 7 * Units.DAY_S, 300) * Units.TENTHS_PER_S),
                Math.round(section.number("ahead_ms", 1, 3_600_000, 60_000) * Units.TENTHS_PER_MS),
                section.whole("memory_mb", 1, 1 << 16, 64) << 20, section.whole("disk_mb", 1, 1 << 20, 1024) << 20,
                (int) section.whole("channels_most", 1, 10_000, 64));
        section.close();
        return channels;
    }
}
