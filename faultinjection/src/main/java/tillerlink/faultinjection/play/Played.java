package tillerlink.faultinjection.play;

import java.util.List;
import java.util.Map;
import tillerlink.faultinjection.audit.Violation;

/** What came of one play. */
public record Played(
    Schedule schedule,
    List<Violation> breaches,
    Map<Step.Kind, Integer> faults,
    int submissions,
    int appends,
    int runs,
    int violations) {}
