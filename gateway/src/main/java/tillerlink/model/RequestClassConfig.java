package tillerlink.model;

import java.util.List;

/**
 * What the settings say of a request class. Times are tenths of a millisecond.
 *
 * @param effect what a second execution would do
 * @param deduplicationGroup the engines that discard a repeat
 * @param deduplicationWindow time from the first attempt in which they do
 * @param latencyObjective time within which answers are wanted
 * @param objectiveStretch what the objective grows by for each unit of the time alone
 * @param deadline longest time that a client waits
 * @param priorityWeight weight of an answer within the objective
 * @param latePriorityWeight weight of a later answer; 0 if it is of no use
 * @param threadsPerRequest threads of one request on an engine
 * @param loadsTableGroup its requests load a table group
 * @param waitsForTableGroupLoad its requests wait while their table group is loaded
 * @param keepsOrder the requests of a key run one after another
 * @param zones indices of the zones that it may run in; null for all
 * @param engineKinds indices of the kinds of engines that it may run on; null for all
 */
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
  /** Whether its requests may run on an engine. */
  public boolean allows(Engine engine) {
    return (zones == null || zones.contains(engine.zone))
        && (engineKinds == null || engineKinds.contains(engine.kind));
  }
}
