package tillerlink.faultinjection.play;

import java.util.List;
import java.util.Map;
import tillerlink.faultinjection.audit.Breach;

/** What came of one play. */
public record Played(
    Schedule schedule,
    List<Breach> breaches,
    Map<Step.Kind, Integer> faults,
    int submissions,
    int appends,
    int runs,
    int violations) {}
