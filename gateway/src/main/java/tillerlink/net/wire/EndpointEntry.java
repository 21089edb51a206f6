package tillerlink.net.wire;

import tillerlink.model.Engine;

/**
 * One engine as the discovery service tells it; {@code startedMs} is Unix milliseconds, 0 for long
 * ago. In partial news the address may be null: then only the standing was told.
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
  /** The same, said to stand otherwise. */
  public EndpointEntry as(Engine.Status other) {
    return new EndpointEntry(id, address, port, zone, kind, cell, other, weight, startedMs);
  }
}
