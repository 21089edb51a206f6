package tillerlink.model;

/**
 * One received entry of the endpoint list.
 *
 * @param engine the engine that the entry describes
 * @param kind the index of the engine's kind
 * @param zone the index of the engine's zone
 * @param cell the index of the engine's cell
 * @param weight the engine's weight in the list
 * @param status the status of the engine's process according to the list
 * @param startedAt the start time of the engine's process, in tenths of a millisecond; 0 if it
 *     started long ago
 * @param trust 1 for an entry from the discovery service; below 1 for an entry from the endpoint
 *     cache, decreasing with its age
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
  /** Creates an entry from the discovery service, with a trust of 1. */
  public EndpointUpdate(
      Engine engine,
      int kind,
      int zone,
      int cell,
      double weight,
      Engine.Status status,
      long startedAt) {
    this(engine, kind, zone, cell, weight, status, startedAt, 1);
  }
}
