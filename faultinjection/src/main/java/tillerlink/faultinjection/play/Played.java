package tillerlink.faultinjection.play;

import java.util.List;
import java.util.Map;
import tillerlink.faultinjection.audit.Violation;

/** What came of one play. */
public record Played(
    Schedule schedule,
    List<Violation> violations,
    Map<Step.Kind, Integer> faults,
    int requests,
    int appends,
    int runs,
    int violationCount) {}
