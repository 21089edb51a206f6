package tillerlink.channels.epoch;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import tillerlink.messages.channels.ChannelsMessage.Standing;

/**
 * How far each gateway's own writing is: the stamp up to which it appends nothing any more, and the
 * number of its last event. It is learnt from the gateway itself or through others. A gateway whose
 * floor does not rise counts as silent, be it paused, partitioned or unable to store anything.
 * Times are tenths of a millisecond.
 */
public final class Standings {
  private static final int MAX_GATEWAYS = 1024;
  private static final long NOT_STARTED = Long.MIN_VALUE;

  /**
   * One gateway's standing.
   *
   * @param standing the latest
   * @param at when it last rose
   */
  public record Heard(Standing standing, long at) {}

  private final TreeMap<String, Heard> heard = new TreeMap<>();
  private long startedAt = NOT_STARTED;

  /** Starts the time from which gateways that were never heard count as silent. */
  public void start(long now) {
    startedAt = startedAt == NOT_STARTED ? now : startedAt;
  }

  /** Takes a standing if it is newer than the one that is known. */
  public void update(long now, Standing standing) {
    Heard before = heard.get(standing.gateway());
    if (before == null ? heard.size() < MAX_GATEWAYS : isNewer(standing, before.standing)) {
      heard.put(standing.gateway(), new Heard(standing, now));
    }
  }

  private static boolean isNewer(Standing one, Standing other) {
    return one.incarnation() != other.incarnation()
        ? one.incarnation() > other.incarnation()
        : one.floor() > other.floor() || one.top() > other.top();
  }

  /** Returns the latest standing of a gateway; null if it was never heard. */
  public Heard of(String gateway) {
    return heard.get(gateway);
  }

  /** Whether a gateway's standing rose within a time before now. */
  public boolean isHeard(String gateway, long now, long within) {
    Heard latest = heard.get(gateway);
    return now - (latest == null ? startedAt : latest.at) <= within;
  }

  /** Returns the standings that rose last, at most {@code max}. */
  public List<Standing> latest(int max) {
    List<Heard> all = new ArrayList<>(heard.values());
    all.sort((one, other) -> Long.compare(other.at, one.at));
    return all.stream().limit(max).map(Heard::standing).toList();
  }
}
