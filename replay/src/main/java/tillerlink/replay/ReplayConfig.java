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
 * The configuration of a replay.
 *
 * @param shards the files of the trace, in order
 * @param layout the layout of the trace
 * @param requestClasses the request classes to which the rows are mapped
 * @param fleet the gateways and engines
 * @param troubles the faults to inject
 * @param window the trace time within which rows may be out of order, in tenths of a millisecond
 * @param sortFolder the folder for an external sort, or null to reorder in memory
 * @param maxSortBytes the maximum disk space of the external sort, in bytes
 * @param load the share of the fleet's cores that the work should use
 * @param scale the quantity that is scaled to reach the load
 * @param jobs the share of jobs in the sample with the scale BOTH; 0 if unset
 * @param estimateSigma the sigma of the log-normal error of estimates
 * @param maxBadShare the share of bad rows above which the replay stops
 * @param seed the seed of the random choices of gateways and clients
 * @param policyName the name of the policy in reports
 * @param policies creates the dispatch policy of each gateway
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
