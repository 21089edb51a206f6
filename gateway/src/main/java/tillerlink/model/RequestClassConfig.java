package tillerlink.model;

import java.util.List;

/**
 * The configuration of a request class. Times are tenths of a millisecond.
 *
 * @param effect the effect of a second execution
 * @param deduplicationGroup the engines that discard repeats
 * @param deduplicationWindow the time after the first attempt during which they discard repeats
 * @param latencyObjective the time within which a request should be answered
 * @param objectiveStretch the increase of the latency objective per unit of a request's time alone
 * @param deadline the longest time that a client waits
 * @param priorityWeight the priority weight of an answer within the latency objective
 * @param latePriorityWeight the priority weight of a later answer; 0 if it has no value
 * @param threadsPerRequest the threads of one request on an engine
 * @param loadsTableGroup whether requests load a table group
 * @param waitsForTableGroupLoad whether requests wait while their table group is loaded
 * @param keepsOrder whether the requests of a key are executed one after another
 * @param zones the indices of the zones that requests may run in; null for all
 * @param engineKinds the indices of the engine kinds that requests may run on; null for all
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
  /** Returns whether requests of this class may run on an engine. */
  public boolean allows(Engine engine) {
    return (zones == null || zones.contains(engine.zone))
        && (engineKinds == null || engineKinds.contains(engine.kind));
  }
}
