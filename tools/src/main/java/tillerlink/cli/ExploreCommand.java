package tillerlink.cli;

import java.io.PrintWriter;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tillerlink.explore.Explorer;
import tillerlink.explore.HistoryPlayer;
import tillerlink.policy.DefaultDispatchPolicy;

/** Explores small histories exhaustively and checks the rules in each. */
@Command(
    name = "explore",
    mixinStandardHelpOptions = true,
    description =
        "Play every small history with at most the given number of injected faults, and check all"
            + " rules.")
final class ExploreCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(
      names = "--engines",
      defaultValue = "2",
      description = "how many (default ${DEFAULT-VALUE})")
  private int engines;

  @Option(
      names = "--submissions",
      defaultValue = "3",
      description = "how many (default ${DEFAULT-VALUE})")
  private int requests;

  @Option(
      names = "--failures",
      defaultValue = "1",
      description =
          "how many faults are injected in one history at most (default ${DEFAULT-VALUE})")
  private int failures;

  @Option(names = "--h2", description = "engines speak HTTP/2")
  private boolean http2;

  @Option(
      names = "--minutes",
      defaultValue = "5",
      description = "after which the exploration ends (default ${DEFAULT-VALUE})")
  private double minutes;

  @Override
  public Integer call() {
    checkOptions();
    LogSetup.muteGateways();
    PrintWriter err = spec.commandLine().getErr();
    Explorer.Result result =
        new Explorer(
                new HistoryPlayer(engines, requests, http2, DefaultDispatchPolicy::new),
                failures,
                minutes)
            .explore(
                (histories, distinct, depth) -> {
                  err.printf(
                      Locale.ROOT,
                      "%d histories, %d that differ, %d deep%n",
                      histories,
                      distinct,
                      depth);
                  err.flush();
                });
    print(result);
    return result.violation() == null ? 0 : 1;
  }

  private void checkOptions() {
    if (!within(engines, 1, 20) || !within(requests, 1, 50) || !within(failures, 0, 10)) {
      throw new CommandLine.ParameterException(
          spec.commandLine(),
          "--engines must be 1 to 20, --submissions 1 to 50 and --failures 0 to 10; got "
              + engines
              + ", "
              + requests
              + " and "
              + failures);
    }
  }

  private static boolean within(int value, int min, int max) {
    return value >= min && value <= max;
  }

  private void print(Explorer.Result result) {
    PrintWriter out = spec.commandLine().getOut();
    out.printf(
        Locale.ROOT,
        "%d histories, %d that differ, %d deep, %s%n",
        result.histories(),
        result.distinct(),
        result.deviations(),
        verdict(result));
    if (result.violation() != null) {
      result.violation().events().forEach(out::println);
      result.violation().violations().forEach(line -> out.println("broken: " + line));
    }
    out.flush();
  }

  private static String verdict(Explorer.Result result) {
    if (result.violation() != null) {
      return "a rule broken";
    }
    return result.complete()
        ? "all of them, no rule broken"
        : "not all of them: the time limit was reached";
  }
}
