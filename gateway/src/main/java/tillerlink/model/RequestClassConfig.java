package tillerlink.model;

import java.util.List;

/** What the settings say of a request class; a null list binds nothing. */
public record RequestClassConfig(
    Effect effect,
    DeduplicationGroup deduplicationGroup,
    long deduplicationWindow,
    long latencyObjective,
    double objectiveStretch,
    long deadline,
    double priorityWeight,
    double latePriorityWeight,
    int threadsPerRequest,
    boolean loadsTableGroup,
    boolean waitsForTableGroupLoad,
    boolean keepsOrder,
    List<Integer> zones,
    List<Integer> engineKinds) {
  public boolean allows(Engine engine) {
    return (zones == null || zones.contains(engine.zone))
        && (engineKinds == null || engineKinds.contains(engine.kind));
  }
}
