package tillerlink.channels.epoch;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import tillerlink.messages.channels.ChannelsMessage.Standing;

/**
 * The latest known standing of each gateway: the stamp up to which the gateway appends nothing any
 * more (its floor), and the number of its last event. Standings arrive from the gateway itself or
 * through others. A gateway whose standing does not advance counts as silent, whether it is paused,
 * partitioned or unable to store anything. Times are tenths of a millisecond.
 */
public final class Standings {
  private static final int MAX_GATEWAYS = 1024;
  private static final long NOT_STARTED = Long.MIN_VALUE;

  /**
   * A gateway's standing with the time of its last advance.
   *
   * @param standing the latest standing
   * @param advancedAt when the standing last advanced, in tenths of a millisecond
   */
  public record Tracked(Standing standing, long advancedAt) {}

  private final TreeMap<String, Tracked> byGateway = new TreeMap<>();
  private long startedAt = NOT_STARTED;

  /**
   * Sets, at the first call, the time from which the silence of gateways without a standing is
   * measured.
   */
  public void startIfNeeded(long now) {
    startedAt = startedAt == NOT_STARTED ? now : startedAt;
  }

  /** Records a standing if it is newer than the one that is known of its gateway. */
  public void update(long now, Standing standing) {
    Tracked previous = byGateway.get(standing.gateway());
    if (previous == null ? byGateway.size() < MAX_GATEWAYS : isNewer(standing, previous.standing)) {
      byGateway.put(standing.gateway(), new Tracked(standing, now));
    }
  }

  /** Returns whether a standing is of a newer process than another, or further advanced. */
  private static boolean isNewer(Standing first, Standing second) {
    return first.incarnation() != second.incarnation()
        ? first.incarnation() > second.incarnation()
        : first.floor() > second.floor() || first.top() > second.top();
  }

  /** Returns the latest standing of a gateway; null if none is known. */
  public Tracked get(String gateway) {
    return byGateway.get(gateway);
  }

  /**
   * Returns whether a gateway's standing advanced recently. For a gateway without a standing,
   * returns whether the start is recent.
   *
   * @param now the time in tenths of a millisecond
   * @param within the greatest age that counts as recent, in tenths of a millisecond
   */
  public boolean advancedWithin(String gateway, long now, long within) {
    Tracked latest = byGateway.get(gateway);
    return now - (latest == null ? startedAt : latest.advancedAt) <= within;
  }

  /** Returns up to {@code max} standings, the ones that advanced last first. */
  public List<Standing> latest(int max) {
    List<Tracked> all = new ArrayList<>(byGateway.values());
    all.sort((first, second) -> Long.compare(second.advancedAt, first.advancedAt));
    return all.stream().limit(max).map(Tracked::standing).toList();
  }
}
