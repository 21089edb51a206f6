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

/** Replays a trace through gateways and prints its metrics. */
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
  /** The dispatch policy. */
  enum Policy {
    MODULE,
    RANDOM,
    LEAST_OUTSTANDING
  }

  /** The protocol of engines. */
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

  @Option(names = "--report", paramLabel = "OUT.json", description = "where the report goes")
  private Path report;

  @Option(
      names = "--operator",
      paramLabel = "FILE",
      description =
          "the operator's file: layouts, fleet, tracks, troubles, and what is not said here")
  private Path operator;

  @Option(names = "--html", paramLabel = "OUT.html", description = "where a page with plots goes")
  private Path html;

  @Option(
      names = "--load",
      description = "the share of the fleet's cores that the work takes (default 0.6)")
  private Double load;

  @Option(
      names = "--scale",
      description = "what gives way for that: ${COMPLETION-CANDIDATES} (default TIME)")
  private WorkloadScaling.Scale scale;

  @Option(
      names = "--jobs",
      defaultValue = "0",
      paramLabel = "SHARE",
      description = "with --scale both: the share of jobs that is in; time gives way for the rest")
  private double jobs;

  @Option(names = "--gateways", description = "how many (default 3, or as in the operator's fleet)")
  private Integer gateways;

  @Option(names = "--engine-count", description = "how many of the built-in fleet (default 12)")
  private Integer engines;

  @Option(
      names = "--engines",
      defaultValue = "LINES",
      description =
          "what they speak: ${COMPLETION-CANDIDATES}, mixed being every second kind over HTTP/2"
              + " (default ${DEFAULT-VALUE}, or as in the operator's file)")
  private Protocol protocol;

  @Option(
      names = "--window",
      description = "seconds of trace time in which rows may stand out of order (default 3600)")
  private Double window;

  @Option(
      names = "--sort",
      paramLabel = "FOLDER",
      description = "sort outside memory first, in this folder")
  private Path sortFolder;

  @Option(
      names = "--sort-most",
      defaultValue = "4096",
      paramLabel = "MB",
      description = "how much that may take there (default ${DEFAULT-VALUE})")
  private long maxSortMegabytes;

  @Option(names = "--estimate-error", description = "sigma by which estimates miss (default 0.4)")
  private Double estimateSigma;

  @Option(
      names = "--bad-most",
      description = "share of bad rows above which it ends with 1 (default 0.1)")
  private Double maxBadShare;

  @Option(names = "--seed", description = "what is drawn (default 1)")
  private Long seed;

  @Option(
      names = "--policy",
      defaultValue = "MODULE",
      description = "what decides: ${COMPLETION-CANDIDATES} (default ${DEFAULT-VALUE})")
  private Policy policy;

  @Option(
      names = "--sockets",
      description =
          "in real time, over loopback sockets, through gateway processes, against stand-in"
              + " engines")
  private boolean sockets;

  @Option(names = "--quiet", description = "no progress")
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

  /** Options take precedence over the operator's file, and that over built-in defaults. */
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
    check(chosen.load() > 0 && chosen.load() <= 10, "--load is above 0 and at most 10");
    check(jobs >= 0 && jobs <= 1, "--jobs is a share");
    check(gateways == null || (gateways >= 1 && gateways <= 1000), "--gateways is 1 to 1000");
    check(engines == null || (engines >= 1 && engines <= 5000), "--engine-count is 1 to 5000");
    check(
        chosen.window() >= 0 && chosen.error() >= 0 && chosen.maxBadShare() >= 0,
        "nothing is below 0");
    check(!sockets || policy == Policy.MODULE, "--sockets plays the module only");
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

  private void check(boolean holds, String otherwise) {
    if (!holds) {
      throw new CommandLine.ParameterException(spec.commandLine(), otherwise);
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
