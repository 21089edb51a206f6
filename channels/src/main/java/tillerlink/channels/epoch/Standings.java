package tillerlink.channels.epoch;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import tillerlink.messages.channels.ChannelsMessage.Standing;

/**
 * What is known of each gateway's own writing: up to which stamp it appends nothing any more, and
 * how much it wrote. News comes straight or through others. A gateway whose floor does not rise
 * counts as not heard, be it paused, cut off or unable to keep anything.
 */
public final class Standings {
  private static final int GATEWAYS_MOST = 1024;

  /** One gateway's, and when it last rose. */
  public record Heard(Standing standing, long at) {}

  private final TreeMap<String, Heard> heard = new TreeMap<>();
  private long startedAt = Long.MIN_VALUE;

  /** Who was never heard counts as heard when this process started. */
  public void start(long now) {
    startedAt = startedAt == Long.MIN_VALUE ? now : startedAt;
  }

  public void take(long now, Standing standing) {
    Heard before = heard.get(standing.gateway());
    if (before == null ? heard.size() < GATEWAYS_MOST : isNewer(standing, before.standing)) {
      heard.put(standing.gateway(), new Heard(standing, now));
    }
  }

  private static boolean isNewer(Standing one, Standing other) {
    return one.incarnation() != other.incarnation()
        ? one.incarnation() > other.incarnation()
        : one.floor() > other.floor() || one.top() > other.top();
  }

  public Heard of(String gateway) {
    return heard.get(gateway);
  }

  public TreeMap<String, Heard> all() {
    return heard;
  }

  public boolean isHeard(String gateway, long now, long within) {
    Heard of = heard.get(gateway);
    return now - (of == null ? startedAt : of.at) <= within;
  }

  /** Those heard last, so many at the most. */
  public List<Standing> freshest(int most) {
    List<Heard> all = new ArrayList<>(heard.values());
    all.sort((one, other) -> Long.compare(other.at, one.at));
    return all.stream().limit(most).map(Heard::standing).toList();
  }
}
