package tillerlink.net.wire;

import java.util.List;

/**
 * News of the discovery service: the number of its last event, and all engines or only what
 * changed.
 *
 * @param partial an answer that did not hold all it should have: what it tells holds, what it does
 *     not tell stays as it was, and a whole answer of the same number is still news
 */
public record EndpointWatchEvent(
    long index, boolean whole, boolean partial, List<EndpointEntry> entries) {
  public EndpointWatchEvent(long index, boolean whole, List<EndpointEntry> entries) {
    this(index, whole, false, entries);
  }
}
