package tillerlink.faultinjection.fabric;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** What the fabric did to what came through it. */
public final class Tally {
  /** What became of a datagram, or of a connection. */
  public enum What {
    CARRIED,
    CUT,
    LOST,
    REPEATED,
    LATE,
    TOO_LONG,
    TOO_MUCH,
    RESET,
    NOBODY
  }

  private final Map<What, LongAdder> counts = new EnumMap<>(What.class);

  Tally() {
    for (What what : What.values()) {
      counts.put(what, new LongAdder());
    }
  }

  void add(What what) {
    counts.get(what).increment();
  }

  public long of(What what) {
    return counts.get(what).sum();
  }
}
