package tillerlink.faultinjection.schedule;

import java.util.List;
import java.util.Map;
import tillerlink.faultinjection.audit.Violation;

/** The result of one run of a schedule. */
public record RunResult(
    Schedule schedule,
    List<Violation> violations,
    Map<Step.Kind, Integer> faults,
    int requests,
    int appends,
    int runs,
    int violationCount) {}
