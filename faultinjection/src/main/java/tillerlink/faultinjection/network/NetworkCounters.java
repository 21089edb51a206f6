package tillerlink.faultinjection.network;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts the outcomes of datagrams and connections in the network. */
public final class NetworkCounters {
  /** The outcome of a datagram or a connection. */
  public enum Counter {
    /** A datagram was delivered. */
    CARRIED,
    /** A datagram was dropped because the link was cut. */
    CUT,
    /** A datagram was dropped at random. */
    LOST,
    /** A datagram was scheduled for a second delivery. */
    REPEATED,
    /** A datagram was delayed. */
    LATE,
    /** A datagram was dropped because it exceeded the link's length limit. */
    TOO_LONG,
    /** A datagram was dropped because too many were waiting. */
    TOO_MUCH,
    /** A connection was reset. */
    RESET,
    /** The receiver was unknown or could not be reached. */
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

  /** Returns the count of one outcome. */
  public long of(Counter counter) {
    return counts.get(counter).sum();
  }
}
