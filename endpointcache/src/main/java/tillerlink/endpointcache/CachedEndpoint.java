package tillerlink.endpointcache;

import java.nio.charset.StandardCharsets;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;

/**
 * One engine as it was last told, and since when it has been gone; times are Unix milliseconds, 0
 * for never.
 *
 * @param entry as discovery told it; {@code GONE} once it told it no more
 */
record CachedEndpoint(EndpointEntry entry, long goneAt) {
  private static final int FIELDS = 10;
  private static final String SEPARATOR = "\t";

  byte[] encoded() {
    return String.join(
            SEPARATOR,
            entry.address(),
            Integer.toString(entry.port()),
            entry.zone(),
            entry.kind(),
            Integer.toString(entry.cell()),
            entry.standing().name(),
            Double.toString(entry.weight()),
            Long.toString(entry.startedMs()),
            Long.toString(goneAt),
            "1")
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Null if it can't be read: then that engine is as if it had not been seen. */
  static CachedEndpoint decoded(String id, byte[] value) {
    String[] parts = new String(value, StandardCharsets.UTF_8).split(SEPARATOR, -1);
    if (parts.length < FIELDS) {
      return null;
    }
    try {
      return new CachedEndpoint(
          new EndpointEntry(
              id,
              parts[0],
              Integer.parseInt(parts[1]),
              parts[2],
              parts[3],
              Integer.parseInt(parts[4]),
              Status.valueOf(parts[5]),
              Double.parseDouble(parts[6]),
              Long.parseLong(parts[7])),
          Long.parseLong(parts[8]));
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  CachedEndpoint gone(long at) {
    EndpointEntry e = entry;
    return new CachedEndpoint(
        new EndpointEntry(
            e.id(),
            e.address(),
            e.port(),
            e.zone(),
            e.kind(),
            e.cell(),
            Status.GONE,
            e.weight(),
            e.startedMs()),
        at);
  }

  boolean isGone() {
    return entry.standing() == Status.GONE;
  }
}
