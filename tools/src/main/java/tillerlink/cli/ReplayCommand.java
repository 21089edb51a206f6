package tillerlink.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tillerlink.baseline.BaselinePolicy;
import tillerlink.fleet.Fleet;
import tillerlink.harness.ProcessHarness;
import tillerlink.operator.OperatorFile;
import tillerlink.operator.OperatorFile.ReplayDefaults;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.replay.ArrivalSource;
import tillerlink.replay.HtmlReport;
import tillerlink.replay.JsonReport;
import tillerlink.replay.ReplayConfig;
import tillerlink.replay.ReplayResult;
import tillerlink.replay.VirtualTimeReplay;
import tillerlink.trace.Layout;
import tillerlink.workload.BuiltInRequestClasses;
import tillerlink.workload.WorkloadScaling;

/** Replays a trace through gateways and prints the metrics. */
@Command(
    name = "replay",
    mixinStandardHelpOptions = true,
    description =
        "Replay a cluster trace through real gateways against emulated engines, in virtual time.",
    footer = {
      "",
      "Layouts: google-2011 (ClusterData 2011, task_events), alibaba-2018 (batch_task), azure-2019",
      "(vmtable). The figure is the value answered within the soft limit over the value asked for."
    })
final class ReplayCommand implements Callable<Integer> {
  /** The dispatch policy of the gateways. */
  enum Policy {
    MODULE,
    RANDOM,
    LEAST_OUTSTANDING
  }

  /** The protocol between gateways and engines. */
  enum Protocol {
    LINES,
    H2,
    MIXED
  }

  private static final int DEFAULT_GATEWAYS = 3;
  private static final int DEFAULT_ENGINES = 12;
  private static final ReplayDefaults BUILT_IN_DEFAULTS =
      new ReplayDefaults(
          0.6,
          WorkloadScaling.Scale.TIME,
          (long) (3600 * OptionValues.TICKS_PER_SECOND),
          0.4,
          0.1,
          1);
  private static final long PROGRESS_INTERVAL_NANOS = 1_000_000_000L;

  @Spec private CommandSpec spec;

  @Parameters(
      arity = "1..*",
      paramLabel = "FILE",
      description = "shards, in order; - for standard input")
  private List<String> files;

  @Option(
      names = "--layout",
      required = true,
      completionCandidates = OptionValues.LayoutNames.class,
      description = "one of ${COMPLETION-CANDIDATES}")
  private String layout;

  @Option(names = "--report", paramLabel = "OUT.json", description = "the file for the report")
  private Path report;

  @Option(
      names = "--operator",
      paramLabel = "FILE",
      description =
          "the operator's file: layouts, fleet, tracks, troubles, and defaults for these options")
  private Path operator;

  @Option(names = "--html", paramLabel = "OUT.html", description = "the file for a page with plots")
  private Path html;

  @Option(
      names = "--load",
      description = "the share of the fleet's cores that the work should use (default 0.6)")
  private Double load;

  @Option(
      names = "--scale",
      description = "what is scaled to reach that load: ${COMPLETION-CANDIDATES} (default TIME)")
  private WorkloadScaling.Scale scale;

  @Option(
      names = "--jobs",
      defaultValue = "0",
      paramLabel = "SHARE",
      description =
          "with --scale both: the share of jobs to replay; time is scaled to reach the load")
  private double jobs;

  @Option(names = "--gateways", description = "how many (default 3, or as in the operator's fleet)")
  private Integer gateways;

  @Option(names = "--engine-count", description = "how many of the built-in fleet (default 12)")
  private Integer engines;

  @Option(
      names = "--engines",
      defaultValue = "LINES",
      description =
          "their protocol: ${COMPLETION-CANDIDATES}, mixed being every second kind over HTTP/2"
              + " (default ${DEFAULT-VALUE}, or as in the operator's file)")
  private Protocol protocol;

  @Option(
      names = "--window",
      description = "seconds of trace time within which rows may be out of order (default 3600)")
  private Double window;

  @Option(
      names = "--sort",
      paramLabel = "FOLDER",
      description = "sort the trace first, on disk in this folder")
  private Path sortFolder;

  @Option(
      names = "--sort-most",
      defaultValue = "4096",
      paramLabel = "MB",
      description = "the disk space for that (default ${DEFAULT-VALUE})")
  private long maxSortMegabytes;

  @Option(
      names = "--estimate-error",
      description = "sigma of the log-normal error of estimates (default 0.4)")
  private Double estimateSigma;

  @Option(
      names = "--bad-most",
      description = "share of bad rows above which the exit code is 1 (default 0.1)")
  private Double maxBadShare;

  @Option(names = "--seed", description = "seed of the random choices (default 1)")
  private Long seed;

  @Option(
      names = "--policy",
      defaultValue = "MODULE",
      description = "the dispatch policy: ${COMPLETION-CANDIDATES} (default ${DEFAULT-VALUE})")
  private Policy policy;

  @Option(
      names = "--sockets",
      description =
          "replay in real time over loopback sockets, with gateway processes and stand-in"
              + " engines")
  private boolean sockets;

  @Option(names = "--quiet", description = "print no progress")
  private boolean quiet;

  private long lastProgress = System.nanoTime();

  @Override
  public Integer call() throws IOException {
    LogSetup.muteGateways();
    ReplayConfig config = config(operator == null ? null : OperatorFile.read(operator));
    try (ArrivalSource arrivals = new ArrivalSource(config)) {
      long startNanos = System.nanoTime();
      ReplayResult result =
          sockets
              ? ProcessHarness.play(config, arrivals, this::progress)
              : VirtualTimeReplay.play(config, arrivals, this::progress);
      if (report != null) {
        JsonReport.write(result, report);
      }
      if (html != null) {
        HtmlReport.write(result, html);
      }
      Summary.print(result, spec.commandLine().getOut());
      if (!quiet) {
        spec.commandLine()
            .getErr()
            .printf(
                Locale.ROOT,
                "%.1f s of replay took %.1f s%n",
                result.lasted() / OptionValues.TICKS_PER_SECOND,
                (System.nanoTime() - startNanos) / 1e9);
      }
      return result.isValid() ? 0 : 1;
    }
  }

  /**
   * Returns the configuration of the replay. Options take precedence over the operator's file,
   * which takes precedence over the built-in defaults.
   */
  private ReplayConfig config(OperatorFile file) throws IOException {
    ReplayDefaults defaults =
        file != null && file.replay() != null ? file.replay() : BUILT_IN_DEFAULTS;
    ReplayDefaults chosen = withOptions(defaults);
    checkOptions(chosen);
    Layout tableLayout = OptionValues.layout(layout, file == null ? List.of() : file.layouts());
    return new ReplayConfig(
        OptionValues.shards(files),
        tableLayout,
        file != null && !file.requestClasses().isEmpty()
            ? file.requestClasses()
            : BuiltInRequestClasses.requestClasses(tableLayout),
        withProtocol(fleet(file), file),
        file == null ? List.of() : file.troubles(),
        chosen.window(),
        sortFolder,
        maxSortMegabytes << 20,
        chosen.load(),
        chosen.scale(),
        jobs,
        chosen.error(),
        chosen.maxBadShare(),
        chosen.seed(),
        policy.name().toLowerCase(Locale.ROOT),
        policies());
  }

  private ReplayDefaults withOptions(ReplayDefaults defaults) {
    return new ReplayDefaults(
        load == null ? defaults.load() : load,
        scale == null ? defaults.scale() : scale,
        window == null ? defaults.window() : (long) (window * OptionValues.TICKS_PER_SECOND),
        estimateSigma == null ? defaults.error() : estimateSigma,
        maxBadShare == null ? defaults.maxBadShare() : maxBadShare,
        seed == null ? defaults.seed() : seed);
  }

  private void checkOptions(ReplayDefaults chosen) {
    check(
        chosen.load() > 0 && chosen.load() <= 10,
        "--load must be above 0 and at most 10, got " + chosen.load());
    check(jobs >= 0 && jobs <= 1, "--jobs must be between 0 and 1, got " + jobs);
    check(
        gateways == null || (gateways >= 1 && gateways <= 1000),
        "--gateways must be 1 to 1000, got " + gateways);
    check(
        engines == null || (engines >= 1 && engines <= 5000),
        "--engine-count must be 1 to 5000, got " + engines);
    check(
        chosen.window() >= 0 && chosen.error() >= 0 && chosen.maxBadShare() >= 0,
        "--window, --estimate-error and --bad-most must not be negative");
    check(!sockets || policy == Policy.MODULE, "--sockets requires --policy module, got " + policy);
  }

  private Fleet fleet(OperatorFile file) {
    Fleet fleet =
        file != null && file.fleet() != null && engines == null
            ? file.fleet()
            : Fleet.of(DEFAULT_GATEWAYS, engines == null ? DEFAULT_ENGINES : engines);
    return gateways == null ? fleet : fleet.withGateways(gateways);
  }

  private Fleet withProtocol(Fleet fleet, OperatorFile file) {
    return switch (protocol) {
      case H2 -> fleet.overHttp2(kind -> true);
      case MIXED -> fleet.overHttp2(kind -> fleet.kindNamed(kind.name()) % 2 == 1);
      default ->
          file == null || file.http2() == null
              ? fleet
              : fleet.overHttp2(
                  kind -> file.http2().all() || file.http2().kinds().contains(kind.name()));
    };
  }

  private DispatchPolicyFactory policies() {
    return switch (policy) {
      case MODULE -> DefaultDispatchPolicy::new;
      case RANDOM -> BaselinePolicy.of(BaselinePolicy.Choice.RANDOM);
      default -> BaselinePolicy.of(BaselinePolicy.Choice.LEAST_OUTSTANDING);
    };
  }

  private void check(boolean valid, String message) {
    if (!valid) {
      throw new CommandLine.ParameterException(spec.commandLine(), message);
    }
  }

  private void progress(long arrived) {
    long now = System.nanoTime();
    if (!quiet && now - lastProgress >= PROGRESS_INTERVAL_NANOS) {
      lastProgress = now;
      spec.commandLine().getErr().printf(Locale.ROOT, "%d submissions%n", arrived);
      spec.commandLine().getErr().flush();
    }
  }
}
