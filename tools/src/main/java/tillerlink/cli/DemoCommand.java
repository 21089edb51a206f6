package tillerlink.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tillerlink.fleet.Fleet;
import tillerlink.harness.ProcessHarness;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.replay.ArrivalSource;
import tillerlink.replay.ReplayConfig;
import tillerlink.replay.ReplayResult;
import tillerlink.trace.Layout;
import tillerlink.trace.Shard;
import tillerlink.trace.TraceGenerator;
import tillerlink.workload.BuiltInRequestClasses;
import tillerlink.workload.WorkloadScaling;

/** Runs a demonstration replay with two gateways on this machine alone. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description = {
      "Start two gateways, stand-in engines and a name service on loopback, replay a small",
      "generated trace over sockets for about ten seconds, and print the figure by track."
    })
final class DemoCommand implements Callable<Integer> {
  private static final Layout LAYOUT = Layout.ALIBABA_2018;
  private static final double LOAD = 0.5;

  @Spec private CommandSpec spec;

  @Option(
      names = "--rows",
      defaultValue = "2000",
      description = "rows of the trace (default ${DEFAULT-VALUE})")
  private long rows;

  @Override
  public Integer call() throws IOException {
    Path trace = Files.createTempFile("tillerlink-demo-", ".csv");
    try {
      try (OutputStream file = Files.newOutputStream(trace);
          TraceGenerator generator =
              new TraceGenerator(
                  LAYOUT, 1, 0.01, (long) (2 * OptionValues.TICKS_PER_SECOND), file)) {
        generator.make(rows);
      }
      ReplayConfig config = config(trace);
      try (ArrivalSource arrivals = new ArrivalSource(config)) {
        spec.commandLine()
            .getErr()
            .println("starting two gateways; the replay takes about ten seconds");
        spec.commandLine().getErr().flush();
        ReplayResult result =
            ProcessHarness.play(
                config,
                arrivals,
                arrived ->
                    spec.commandLine().getErr().printf(Locale.ROOT, "%d submissions%n", arrived));
        Summary.print(result, spec.commandLine().getOut());
        return exitCode(result);
      }
    } finally {
      Files.deleteIfExists(trace);
    }
  }

  private static ReplayConfig config(Path trace) {
    return new ReplayConfig(
        List.of(Shard.of(trace)),
        LAYOUT,
        BuiltInRequestClasses.requestClasses(LAYOUT),
        Fleet.builtIn(2),
        List.of(),
        (long) (60 * OptionValues.TICKS_PER_SECOND),
        null,
        0,
        LOAD,
        WorkloadScaling.Scale.TIME,
        0,
        0.4,
        0.1,
        1,
        "module",
        DefaultDispatchPolicy::new);
  }

  /**
   * Returns the exit code, which reports only faults of the gateways or the replay. A load that was
   * sent late because the machine was busy makes the figures invalid, but is not a fault.
   */
  static int exitCode(ReplayResult result) {
    return result.faults().isEmpty() ? 0 : 1;
  }
}
