package tillerlink.model;

import java.util.List;

/** What the settings say of a request class; a null list binds nothing. */
public record RequestClassConfig(
    Effect effect,
    DeduplicationGroup circle,
    long window,
    long latencyObjective,
    double stretch,
    long deadline,
    double value,
    double lateValue,
    int width,
    boolean holdsGroup,
    boolean waitsForGroup,
    boolean keepsOrder,
    List<Integer> zones,
    List<Integer> kinds) {
  public boolean allows(Engine engine) {
    return (zones == null || zones.contains(engine.zone))
        && (kinds == null || kinds.contains(engine.kind));
  }
}
