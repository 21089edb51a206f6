package tillerlink.net.wire;

import tillerlink.model.Engine;

/**
 * One engine in the discovery service's endpoint list.
 *
 * @param address its IPv4 address; null in a partial list that states the status only
 * @param standing whether it takes requests
 * @param weight its share of requests, where 1 is usual
 * @param startedMs when it started, in Unix milliseconds; 0 for long ago
 */
public record EndpointEntry(
    String id,
    String address,
    int port,
    String zone,
    String kind,
    int cell,
    Engine.Status standing,
    double weight,
    long startedMs) {
  /** The same engine with another status. */
  public EndpointEntry as(Engine.Status other) {
    return new EndpointEntry(id, address, port, zone, kind, cell, other, weight, startedMs);
  }
}
