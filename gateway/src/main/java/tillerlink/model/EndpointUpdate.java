package tillerlink.model;

/**
 * One entry of the endpoint list as it came in; {@code startedAt} 0 means long ago.
 *
 * @param trust 1 as discovery tells it; less for one that is only remembered, the less the older
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
