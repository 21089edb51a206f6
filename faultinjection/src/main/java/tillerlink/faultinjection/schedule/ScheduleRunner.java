package tillerlink.faultinjection.schedule;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.audit.Rule;
import tillerlink.faultinjection.audit.Violation;
import tillerlink.faultinjection.client.MembersClient;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.harness.ProcessIncarnations;
import tillerlink.faultinjection.process.GatewaySpec;

/** Runs one schedule of faults on a cluster of gateway processes under load, and audits the run. */
public final class ScheduleRunner {
  private static final long CONVERGENCE_TIMEOUT_MS = 60_000;
  private static final long POLL_INTERVAL_MS = 50;
  private static final long ENGINE_WORK_MS = 2;
  private static final int ENGINES = 3;

  private final Path folder;
  private final String classPath;
  private final GatewaySpec.Shared shared;

  /**
   * Prepares a run.
   *
   * @param folder an empty folder for the files, logs and disks of the processes
   * @param classPath the class path of the gateway processes
   * @param shared the components of shared state that are enabled
   */
  public ScheduleRunner(Path folder, String classPath, GatewaySpec.Shared shared) {
    this.shared = shared;
    this.folder = folder;
    this.classPath = classPath;
  }

  /**
   * Runs a schedule and returns the result of the audit.
   *
   * @throws IOException if the cluster cannot be set up or its logs cannot be read
   */
  public RunResult run(Schedule schedule) throws IOException {
    Audit audit = new Audit();
    ProcessCluster.Topology topology =
        new ProcessCluster.Topology(
            schedule.gateways(), schedule.sites(), ENGINES, ENGINE_WORK_MS, shared);
    try (ProcessCluster cluster =
        new ProcessCluster(
            folder,
            schedule.seed(),
            topology,
            classPath,
            (engine, command) -> {
              audit.ran(engine, new String(command.statement(), StandardCharsets.UTF_8));
              StatementLoad.onRun(audit, engine, command);
            })) {
      try {
        cluster.start();
      } catch (IOException e) {
        audit.violation(Rule.INSIDE, e.getMessage());
        return result(schedule, audit, audit.violations(), Map.of());
      }
      return runOn(cluster, schedule, audit);
    }
  }

  private RunResult runOn(ProcessCluster cluster, Schedule schedule, Audit audit)
      throws IOException {
    DisruptionTracker disruptions = new DisruptionTracker();
    ProcessIncarnations incarnations = new ProcessIncarnations();
    RequestLoad requests = new RequestLoad(cluster, audit, disruptions, schedule.seed());
    ChannelLoad channels =
        new ChannelLoad(cluster, audit, disruptions, incarnations, schedule.seed());
    StatementLoad statements = new StatementLoad(cluster, audit, disruptions, schedule.seed());
    List<Load> loads = new ArrayList<>(List.of(requests));
    if (isEnabled(GatewaySpec.Shared.CHANNELS)) {
      loads.add(channels);
    }
    if (isEnabled(GatewaySpec.Shared.STATEMENTS)) {
      loads.add(statements);
    }
    StepExecutor executor =
        new StepExecutor(
            cluster,
            disruptions,
            gateway -> {
              incarnations.diskLost(gateway);
              audit.diskLost(gateway);
            });
    awaitConvergence(cluster, audit, "before the faults,");
    loads.forEach(Load::begin);
    execute(executor, schedule, audit);
    cluster.heal();
    statements.stopChanges();
    loads.forEach(Load::end);
    awaitConvergence(cluster, audit, "after the faults,");
    if (isEnabled(GatewaySpec.Shared.CHANNELS)) {
      channels.settle();
    }
    if (isEnabled(GatewaySpec.Shared.STATEMENTS)) {
      statements.settle();
    }
    return result(schedule, audit, finalViolations(cluster, audit), executor.counts());
  }

  private static void execute(StepExecutor executor, Schedule schedule, Audit audit) {
    try {
      executor.run(schedule);
    } catch (IOException e) {
      audit.violation(Rule.INSIDE, e.getMessage());
    }
  }

  private static List<Violation> finalViolations(ProcessCluster cluster, Audit audit)
      throws IOException {
    cluster.violations().forEach(description -> audit.violation(Rule.INSIDE, description));
    return audit.end();
  }

  private boolean isEnabled(GatewaySpec.Shared component) {
    return shared.compareTo(component) >= 0;
  }

  private static RunResult result(
      Schedule schedule, Audit audit, List<Violation> violations, Map<Step.Kind, Integer> faults) {
    return new RunResult(
        schedule,
        violations,
        faults,
        audit.requests(),
        audit.appends(),
        audit.runs(),
        audit.violationCount());
  }

  /**
   * Waits until every gateway reports every other one as reachable. Adds a violation if that takes
   * more than {@value #CONVERGENCE_TIMEOUT_MS} ms for all gateways.
   */
  private void awaitConvergence(ProcessCluster cluster, Audit audit, String phase) {
    if (shared == GatewaySpec.Shared.NOTHING) {
      return;
    }
    long deadline = System.nanoTime() + CONVERGENCE_TIMEOUT_MS * 1_000_000;
    for (String name : cluster.names()) {
      String problem = reachabilityProblem(cluster, name);
      while (!problem.isEmpty() && System.nanoTime() < deadline) {
        Load.pause(POLL_INTERVAL_MS);
        problem = reachabilityProblem(cluster, name);
      }
      if (!problem.isEmpty()) {
        audit.violation(Rule.NOT_TOGETHER, phase + " " + name + " reports: " + problem);
      }
    }
  }

  /** Returns the members that a gateway reports, or the error; empty if all are reachable. */
  private static String reachabilityProblem(ProcessCluster cluster, String name) {
    try {
      Map<String, String> members = MembersClient.of(cluster.client(name));
      for (String other : cluster.names()) {
        if (!other.equals(name) && !"reachable".equals(members.get(other))) {
          return members.toString();
        }
      }
      return "";
    } catch (IOException e) {
      return e.getMessage();
    }
  }
}
