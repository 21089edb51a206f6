package tillerlink.faultinjection.network;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts what the network did to datagrams and connections. */
public final class NetworkCounters {
  /** What happened to a datagram or a connection. */
  public enum Counter {
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

  private final Map<Counter, LongAdder> counts = new EnumMap<>(Counter.class);

  NetworkCounters() {
    for (Counter counter : Counter.values()) {
      counts.put(counter, new LongAdder());
    }
  }

  void add(Counter counter) {
    counts.get(counter).increment();
  }

  /** The count of one kind. */
  public long of(Counter counter) {
    return counts.get(counter).sum();
  }
}
