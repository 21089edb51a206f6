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
import tillerlink.replay.Arrivals;
import tillerlink.replay.Job;
import tillerlink.replay.Page;
import tillerlink.replay.Played;
import tillerlink.replay.Report;
import tillerlink.replay.Run;
import tillerlink.trace.Layout;
import tillerlink.workload.BuiltInRequestClasses;
import tillerlink.workload.WorkloadScaling;

/** Replays a trace through gateways and tells what it was worth. */
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
  /** What decides. */
  enum Choice {
    MODULE,
    RANDOM,
    LEAST_OUTSTANDING
  }

  /** What engines speak. */
  enum Speech {
    LINES,
    H2,
    MIXED
  }

  private static final long TELL_EVERY_NANOS = 1_000_000_000L;

  @Spec private CommandSpec spec;

  @Parameters(
      arity = "1..*",
      paramLabel = "FILE",
      description = "shards, in order; - for standard input")
  private List<String> files;

  @Option(
      names = "--layout",
      required = true,
      completionCandidates = Words.LayoutNames.class,
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
  private Speech speech;

  @Option(
      names = "--window",
      description = "seconds of trace time in which rows may stand out of order (default 3600)")
  private Double window;

  @Option(
      names = "--sort",
      paramLabel = "FOLDER",
      description = "sort outside memory first, in this folder")
  private Path sortIn;

  @Option(
      names = "--sort-most",
      defaultValue = "4096",
      paramLabel = "MB",
      description = "how much that may take there (default ${DEFAULT-VALUE})")
  private long sortMost;

  @Option(names = "--estimate-error", description = "sigma by which estimates miss (default 0.4)")
  private Double error;

  @Option(
      names = "--bad-most",
      description = "share of bad rows above which it ends with 1 (default 0.1)")
  private Double badMost;

  @Option(names = "--seed", description = "what is drawn (default 1)")
  private Long seed;

  @Option(
      names = "--policy",
      defaultValue = "MODULE",
      description = "what decides: ${COMPLETION-CANDIDATES} (default ${DEFAULT-VALUE})")
  private Choice choice;

  @Option(
      names = "--sockets",
      description =
          "in real time, over loopback sockets, through gateway processes, against stand-in"
              + " engines")
  private boolean sockets;

  @Option(names = "--quiet", description = "no progress")
  private boolean quiet;

  private long toldAt = System.nanoTime();

  @Override
  public Integer call() throws IOException {
    Logs.hushGateways();
    Job job = job(operator == null ? null : OperatorFile.read(operator));
    try (Arrivals arrivals = new Arrivals(job)) {
      long began = System.nanoTime();
      Played run =
          sockets
              ? ProcessHarness.play(job, arrivals, this::progress)
              : Run.play(job, arrivals, this::progress);
      if (report != null) {
        Report.write(run, report);
      }
      if (html != null) {
        Page.write(run, html);
      }
      Summary.print(run, spec.commandLine().getOut());
      if (!quiet) {
        spec.commandLine()
            .getErr()
            .printf(
                Locale.ROOT,
                "%.1f s of replay took %.1f s%n",
                run.lasted() / Words.SECOND,
                (System.nanoTime() - began) / 1e9);
      }
      return run.sound() ? 0 : 1;
    }
  }

  /** Options come before the operator's file, and that before what is built in. */
  private Job job(OperatorFile file) throws IOException {
    ReplayDefaults plain =
        file != null && file.replay() != null
            ? file.replay()
            : new ReplayDefaults(
                0.6, WorkloadScaling.Scale.TIME, (long) (3600 * Words.SECOND), 0.4, 0.1, 1);
    double loadWanted = load == null ? plain.load() : load;
    long ordering = window == null ? plain.window() : (long) (window * Words.SECOND);
    check(loadWanted > 0 && loadWanted <= 10, "--load is above 0 and at most 10");
    check(jobs >= 0 && jobs <= 1, "--jobs is a share");
    check(gateways == null || gateways >= 1 && gateways <= 1000, "--gateways is 1 to 1000");
    check(engines == null || engines >= 1 && engines <= 5000, "--engine-count is 1 to 5000");
    check(
        ordering >= 0 && (error == null || error >= 0) && (badMost == null || badMost >= 0),
        "nothing is below 0");
    check(!sockets || choice == Choice.MODULE, "--sockets plays the module only");
    Layout chosen = Words.layout(layout, file == null ? List.of() : file.layouts());
    boolean own = file != null && file.fleet() != null && engines == null;
    Fleet fleet = own ? file.fleet() : Fleet.of(3, engines == null ? 12 : engines);
    return new Job(
        Words.shards(files),
        chosen,
        file != null && !file.requestClasses().isEmpty()
            ? file.requestClasses()
            : BuiltInRequestClasses.requestClasses(chosen),
        speaking(gateways == null ? fleet : fleet.behind(gateways), file),
        file == null ? List.of() : file.troubles(),
        ordering,
        sortIn,
        sortMost << 20,
        loadWanted,
        scale == null ? plain.scale() : scale,
        jobs,
        error == null ? plain.error() : error,
        badMost == null ? plain.maxBadShare() : badMost,
        seed == null ? plain.seed() : seed,
        choice.name().toLowerCase(Locale.ROOT),
        modules());
  }

  private Fleet speaking(Fleet fleet, OperatorFile file) {
    return switch (speech) {
      case H2 -> fleet.overHttp2(kind -> true);
      case MIXED -> fleet.overHttp2(kind -> fleet.kindNamed(kind.name()) % 2 == 1);
      default ->
          file == null || file.http2() == null
              ? fleet
              : fleet.overHttp2(
                  kind -> file.http2().all() || file.http2().kinds().contains(kind.name()));
    };
  }

  private DispatchPolicyFactory modules() {
    return switch (choice) {
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
    if (!quiet && now - toldAt >= TELL_EVERY_NANOS) {
      toldAt = now;
      spec.commandLine().getErr().printf(Locale.ROOT, "%d submissions%n", arrived);
      spec.commandLine().getErr().flush();
    }
  }
}
