package tillerlink.replay;

import java.nio.file.Path;
import java.util.List;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.Trouble;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.trace.Layout;
import tillerlink.trace.Shard;
import tillerlink.workload.RequestClassSpec;
import tillerlink.workload.WorkloadScaling;

/**
 * What is to be replayed, and how.
 *
 * @param window in how much trace time rows may stand out of order, in tenths of a millisecond
 * @param sortIn the folder to sort in outside memory, or null
 * @param sortMost how many bytes that may take
 * @param load the share of the fleet's cores that the work is to take
 * @param jobs the share of jobs that is in, with the scale both; 0 if not stated
 * @param error the sigma by which estimates miss
 * @param badMost the share of bad rows above which the trace is not replayed to its end
 * @param policyName what the figures are headed with
 */
public record Job(
    List<Shard> shards,
    Layout layout,
    List<RequestClassSpec> requestClasses,
    Fleet fleet,
    List<Trouble> troubles,
    long window,
    Path sortIn,
    long sortMost,
    double load,
    WorkloadScaling.Scale scale,
    double jobs,
    double error,
    double badMost,
    long seed,
    String policyName,
    DispatchPolicyFactory modules) {}
