package tillerlink.members.state;

import java.util.Set;
import java.util.TreeSet;
import tillerlink.cluster.Invariant;

/**
 * How long a member is suspected before it is given up: the longest time if one accuses it alone,
 * falling to the shortest as others, who tried it themselves, say so too.
 */
final class SuspicionTimer {
  private final Set<String> accusers = new TreeSet<>();
  private final int confirmations;
  private final long least;
  private final long most;
  private long since;
  private long lasts;

  SuspicionTimer(long now, String by, int confirmations, long least, long most) {
    since = now;
    accusers.add(by);
    this.confirmations = confirmations;
    this.least = least;
    this.most = most;
    lasts = lasting();
  }

  /** Whether that is an accuser more who counts. */
  boolean confirm(String by) {
    boolean counts = accusers.size() <= confirmations && accusers.add(by);
    lasts = lasting();
    return counts;
  }

  boolean accusedBy(String name) {
    return accusers.contains(name);
  }

  long deadline() {
    return since + lasts;
  }

  private long lasting() {
    double share = confirmations == 0 ? 1 : Math.log(accusers.size()) / Math.log(confirmations + 1);
    long span = Math.round(most - (most - least) * share);
    Invariant.holds(span >= least && span <= most, () -> "a suspicion of " + span);
    return span;
  }

  /** The own process was away: the time that it was counts for nobody. */
  void later(long by) {
    since += by;
  }
}
