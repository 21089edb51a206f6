package tillerlink.replay;

import java.nio.file.Path;
import java.util.List;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.ScheduledFault;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.trace.Layout;
import tillerlink.trace.Shard;
import tillerlink.workload.RequestClassSpec;
import tillerlink.workload.WorkloadScaling;

/**
 * What is replayed, and how.
 *
 * @param window the trace time within which rows may be out of order, in tenths of a millisecond
 * @param sortFolder the folder for an external sort, or null
 * @param maxSortBytes how many bytes the external sort may use
 * @param load the share of the fleet's cores that the work should use
 * @param jobs the share of jobs in the sample with the scale BOTH; 0 if unset
 * @param estimateSigma the sigma of the error of estimates
 * @param maxBadShare the share of bad rows above which the replay stops
 * @param policyName the name of the policy in reports
 */
public record ReplayConfig(
    List<Shard> shards,
    Layout layout,
    List<RequestClassSpec> requestClasses,
    Fleet fleet,
    List<ScheduledFault> troubles,
    long window,
    Path sortFolder,
    long maxSortBytes,
    double load,
    WorkloadScaling.Scale scale,
    double jobs,
    double estimateSigma,
    double maxBadShare,
    long seed,
    String policyName,
    DispatchPolicyFactory policies) {}
