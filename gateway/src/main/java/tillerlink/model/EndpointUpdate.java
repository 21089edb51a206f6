package tillerlink.model;

/**
 * One entry of the endpoint list as it was received.
 *
 * @param engine the engine that it is about
 * @param kind index of the engine's kind
 * @param zone index of its zone
 * @param cell index of its cell
 * @param weight its weight in the list
 * @param status what the list says of its process
 * @param startedAt start of its process, in tenths of a millisecond; 0 means long ago
 * @param trust 1 for an entry from the discovery service; less for a cached one, the less the older
 */
public record EndpointUpdate(
    Engine engine,
    int kind,
    int zone,
    int cell,
    double weight,
    Engine.Status status,
    long startedAt,
    double trust) {
  /** An entry from the discovery service. */
  public EndpointUpdate(
      Engine engine,
      int kind,
      int zone,
      int cell,
      double weight,
      Engine.Status standing,
      long startedAt) {
    this(engine, kind, zone, cell, weight, standing, startedAt, 1);
  }
}
