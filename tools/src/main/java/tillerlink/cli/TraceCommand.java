package tillerlink.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.zip.GZIPOutputStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tillerlink.trace.Layout;
import tillerlink.trace.RowCounts;
import tillerlink.trace.SkipReason;
import tillerlink.trace.TaskReader;
import tillerlink.trace.TraceGenerator;
import tillerlink.workload.BuiltInRequestClasses;
import tillerlink.workload.RequestClassSpec;
import tillerlink.workload.TraceSurvey;

/** Generates traces and checks traces. */
@Command(
    name = "trace",
    mixinStandardHelpOptions = true,
    description = "Generate a trace, or check one.",
    subcommands = {TraceCommand.Make.class, TraceCommand.Check.class})
final class TraceCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(
        spec.commandLine(), "a command is missing: make or check");
  }

  @Command(
      name = "make",
      mixinStandardHelpOptions = true,
      description = "Write a generated trace in a published layout, and print what was written.")
  static final class Make implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
        names = "--layout",
        required = true,
        completionCandidates = OptionValues.LayoutNames.class,
        description = "one of ${COMPLETION-CANDIDATES}")
    private String layout;

    @Option(
        names = "--rows",
        defaultValue = "10000",
        description = "good rows (default ${DEFAULT-VALUE})")
    private long rows;

    @Option(
        names = "--seed",
        defaultValue = "1",
        description = "seed of the random choices (default ${DEFAULT-VALUE})")
    private long seed;

    @Option(
        names = "--bad",
        defaultValue = "0",
        description = "the share of bad rows in addition to the good ones")
    private double bad;

    @Option(
        names = "--shuffle",
        defaultValue = "0",
        description = "by how many seconds rows are out of order")
    private double shuffle;

    @Option(
        names = "--out",
        required = true,
        description = "the file; one that ends in .gz is compressed")
    private Path out;

    @Override
    public Integer call() throws IOException {
      if (rows < 1 || bad < 0 || bad > 1 || shuffle < 0) {
        throw new CommandLine.ParameterException(
            spec.commandLine(),
            "--rows must be at least 1, --bad between 0 and 1, --shuffle at least 0; got "
                + rows
                + ", "
                + bad
                + " and "
                + shuffle);
      }
      Layout chosenLayout = OptionValues.layout(layout, List.of());
      TraceGenerator.Generated generated;
      try (OutputStream file = open();
          TraceGenerator generator =
              new TraceGenerator(
                  chosenLayout,
                  seed,
                  bad,
                  (long) (shuffle * OptionValues.TICKS_PER_SECOND),
                  file)) {
        generated = generator.make(rows);
      }
      PrintWriter print = spec.commandLine().getOut();
      print.printf(
          Locale.ROOT,
          "rows %d, tasks %d, bad %d, shuffled %d%n",
          generated.rows(),
          generated.tasks(),
          generated.allBad(),
          generated.shuffled());
      for (Map.Entry<SkipReason, Long> reason : generated.bad().entrySet()) {
        print.printf(Locale.ROOT, "  %s %d%n", reason.getKey().word(), reason.getValue());
      }
      print.flush();
      return 0;
    }

    private OutputStream open() throws IOException {
      OutputStream file = Files.newOutputStream(out);
      return out.toString().endsWith(".gz") ? new GZIPOutputStream(file) : file;
    }
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Read a trace and print what it contains and which rows cannot be used.")
  static final class Check implements Callable<Integer> {
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

    @Option(
        names = "--bad-most",
        defaultValue = "0.1",
        description = "share of bad rows above which the exit code is 1 (default ${DEFAULT-VALUE})")
    private double maxBadShare;

    @Override
    public Integer call() throws IOException {
      Layout chosenLayout = OptionValues.layout(layout, List.of());
      List<RequestClassSpec> requestClasses = BuiltInRequestClasses.requestClasses(chosenLayout);
      RowCounts counts = new RowCounts();
      TraceSurvey survey = new TraceSurvey(requestClasses.size());
      try (TaskReader reader =
          new TaskReader(
              chosenLayout,
              OptionValues.shards(files),
              requestClasses.stream().map(RequestClassSpec::rows).toList(),
              counts)) {
        survey.addAll(reader, Long.MAX_VALUE);
      }
      print(counts, survey);
      if (counts.rowsUsed() == 0) {
        throw new IOException("the trace has no usable row");
      }
      if (counts.badShare() > maxBadShare) {
        throw new IOException(
            String.format(
                Locale.ROOT,
                "the share of bad rows, %.4f, exceeds the limit of %.4f",
                counts.badShare(),
                maxBadShare));
      }
      return 0;
    }

    private void print(RowCounts counts, TraceSurvey survey) {
      PrintWriter print = spec.commandLine().getOut();
      print.printf(
          Locale.ROOT,
          "rows %d, used %d, tasks %d, bad %d, behind a later one %d, %.1f s%n",
          counts.rowsRead(),
          counts.rowsUsed(),
          survey.tasks(),
          counts.bad(),
          counts.rowsOutOfOrder(),
          survey.span() / OptionValues.TICKS_PER_SECOND);
      for (SkipReason reason : SkipReason.values()) {
        if (counts.skipped(reason) > 0) {
          print.printf(
              Locale.ROOT,
              "  %s %d, first at %s%n",
              reason.word(),
              counts.skipped(reason),
              counts.places(reason));
        }
      }
      print.flush();
    }
  }
}
