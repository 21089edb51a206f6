package tillerlink.endpointcache;

import java.nio.charset.StandardCharsets;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;

/**
 * An endpoint as discovery last reported it, and its stored form: tab-separated fields, in which
 * each status has a name of its own that does not follow the constant's.
 *
 * @param entry {@code GONE} once discovery left it out
 * @param goneAt since when it has been gone in Unix milliseconds, 0 if it is not
 */
record CachedEndpoint(EndpointEntry entry, long goneAt) {
  private static final String SEPARATOR = "\t";
  private static final int FIELDS = 10;

  /** Written as the last field and not read. */
  private static final String LAST_FIELD = "1";

  private static final String STORED_READY = "READY";
  private static final String STORED_DRAINING = "DRAINING";
  private static final String STORED_GONE = "GONE";

  /** The stored form, in UTF-8; the id is not part of it. */
  byte[] encoded() {
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
            Long.toString(goneAt),
            LAST_FIELD)
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Reads the stored form; null if it is malformed, and then the endpoint counts as unknown. */
  static CachedEndpoint decoded(String id, byte[] stored) {
    String[] fields = new String(stored, StandardCharsets.UTF_8).split(SEPARATOR, -1);
    if (fields.length < FIELDS) {
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
      default -> throw new IllegalArgumentException("no status: " + storedName);
    };
  }

  /**
   * The same endpoint, gone.
   *
   * @param at Unix milliseconds
   */
  CachedEndpoint gone(long at) {
    return new CachedEndpoint(entry.withStatus(Status.GONE), at);
  }

  boolean isGone() {
    return entry.standing() == Status.GONE;
  }
}
