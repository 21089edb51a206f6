package tillerlink.net.wire;

import java.util.List;

/**
 * The endpoint list, or a change to it, as received from the discovery service.
 *
 * @param serial the serial number of the list
 * @param complete whether the entries are the complete list; otherwise they are the engines that
 *     changed
 * @param partial whether the answer was incomplete, for example truncated: its entries apply,
 *     engines that it does not name stay unchanged, and a complete answer with the same serial must
 *     still be applied when it arrives
 * @param entries the engines
 */
public record EndpointWatchEvent(
    long serial, boolean complete, boolean partial, List<EndpointEntry> entries) {
  /** Creates an event from a complete answer, which is not partial. */
  public EndpointWatchEvent(long serial, boolean complete, List<EndpointEntry> entries) {
    this(serial, complete, false, entries);
  }
}
