package tillerlink.faultinjection.schedule;

import java.util.List;
import java.util.Map;
import tillerlink.faultinjection.audit.Violation;

/**
 * The result of one run of a schedule.
 *
 * @param schedule the schedule
 * @param violations the first violations of each rule
 * @param faults the number of injected faults of each kind
 * @param requests the number of requests
 * @param appends the number of accepted appends
 * @param runs the number of requested runs of prepared statements
 * @param violationCount the number of all violations
 */
public record RunResult(
    Schedule schedule,
    List<Violation> violations,
    Map<Step.Kind, Integer> faults,
    int requests,
    int appends,
    int runs,
    int violationCount) {}
