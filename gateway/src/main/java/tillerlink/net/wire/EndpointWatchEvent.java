package tillerlink.net.wire;

import java.util.List;

/**
 * The endpoint list or a change of it, as the discovery service states it.
 *
 * @param index the serial number of the list
 * @param whole whether the entries are all engines; otherwise they are those that changed
 * @param partial whether the answer lacked a part of what it should hold: its entries apply,
 *     engines it does not name stay as they were, and a whole answer of the same index is still to
 *     be taken
 */
public record EndpointWatchEvent(
    long index, boolean whole, boolean partial, List<EndpointEntry> entries) {
  /** An event that lacks nothing. */
  public EndpointWatchEvent(long index, boolean whole, List<EndpointEntry> entries) {
    this(index, whole, false, entries);
  }
}
