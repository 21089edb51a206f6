package tillerlink.net.wire;

import tillerlink.model.Engine;

/**
 * One engine in the endpoint list of the discovery service.
 *
 * @param id the name of the engine
 * @param address the IPv4 address; null in an entry of a partial list that has only the status
 * @param kind the engine kind
 * @param standing whether the engine is ready, draining or removed
 * @param weight the relative share of requests; 1 is the default
 * @param startedMs the start time of the engine, in milliseconds since the Unix epoch; 0 if it is
 *     unknown or long ago
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
  /** Returns a copy of this entry with another status. */
  public EndpointEntry withStatus(Engine.Status status) {
    return new EndpointEntry(id, address, port, zone, kind, cell, status, weight, startedMs);
  }
}
