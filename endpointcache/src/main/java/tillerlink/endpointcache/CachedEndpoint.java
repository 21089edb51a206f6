package tillerlink.endpointcache;

import java.nio.charset.StandardCharsets;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;

/**
 * An endpoint as last reported by the discovery service, with its encoding in the store. The
 * encoding consists of tab-separated fields. The stored names of the statuses are defined
 * separately from the enum constants, so that renaming a constant does not change the stored data.
 *
 * @param entry the endpoint; its status is {@code GONE} once the discovery service has left it out
 * @param goneSinceMs the Unix time in milliseconds since which the endpoint has been gone; 0 if it
 *     is not gone
 */
record CachedEndpoint(EndpointEntry entry, long goneSinceMs) {
  private static final String SEPARATOR = "\t";
  private static final int FIELD_COUNT = 10;

  /** The value of the last field, which is written but not read. */
  private static final String LAST_FIELD = "1";

  private static final String STORED_READY = "READY";
  private static final String STORED_DRAINING = "DRAINING";
  private static final String STORED_GONE = "GONE";

  /** Returns the encoding in UTF-8. It does not contain the id, which is part of the key. */
  byte[] encode() {
    return String.join(
            SEPARATOR,
            entry.address(),
            Integer.toString(entry.port()),
            entry.zone(),
            entry.kind(),
            Integer.toString(entry.cell()),
            storedName(entry.standing()),
            Double.toString(entry.weight()),
            Long.toString(entry.startedMs()),
            Long.toString(goneSinceMs),
            LAST_FIELD)
        .getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Decodes a stored value.
   *
   * @param id the id of the endpoint
   * @return the endpoint, or null if the value is malformed, in which case the endpoint is treated
   *     as unknown
   */
  static CachedEndpoint decode(String id, byte[] stored) {
    String[] fields = new String(stored, StandardCharsets.UTF_8).split(SEPARATOR, -1);
    if (fields.length < FIELD_COUNT) {
      return null;
    }
    try {
      EndpointEntry entry =
          new EndpointEntry(
              id,
              fields[0],
              Integer.parseInt(fields[1]),
              fields[2],
              fields[3],
              Integer.parseInt(fields[4]),
              statusOf(fields[5]),
              Double.parseDouble(fields[6]),
              Long.parseLong(fields[7]));
      return new CachedEndpoint(entry, Long.parseLong(fields[8]));
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  private static String storedName(Status status) {
    return switch (status) {
      case READY -> STORED_READY;
      case DRAINING -> STORED_DRAINING;
      case GONE -> STORED_GONE;
    };
  }

  private static Status statusOf(String storedName) {
    return switch (storedName) {
      case STORED_READY -> Status.READY;
      case STORED_DRAINING -> Status.DRAINING;
      case STORED_GONE -> Status.GONE;
      default -> throw new IllegalArgumentException("unknown stored status: " + storedName);
    };
  }

  /**
   * Returns the same endpoint with the status {@code GONE}.
   *
   * @param atMs the Unix time in milliseconds since which the endpoint has been gone
   */
  CachedEndpoint asGone(long atMs) {
    return new CachedEndpoint(entry.withStatus(Status.GONE), atMs);
  }

  boolean isGone() {
    return entry.standing() == Status.GONE;
  }
}
