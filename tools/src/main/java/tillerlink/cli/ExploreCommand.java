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
import tillerlink.explore.Player;
import tillerlink.policy.DefaultDispatchPolicy;

/** Explores small histories exhaustively. */
@Command(
    name = "explore",
    mixinStandardHelpOptions = true,
    description =
        "Play every small history in which so many things go otherwise than usual, and check all"
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
      description = "how many things go otherwise in one history (default ${DEFAULT-VALUE})")
  private int failures;

  @Option(names = "--h2", description = "engines speak HTTP/2")
  private boolean http2;

  @Option(
      names = "--minutes",
      defaultValue = "5",
      description = "after which it ends (default ${DEFAULT-VALUE})")
  private double minutes;

  @Override
  public Integer call() {
    if (engines < 1
        || engines > 20
        || requests < 1
        || requests > 50
        || failures < 0
        || failures > 10) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "--engines is 1 to 20, --submissions 1 to 50, --failures 0 to 10");
    }
    Logs.hushGateways();
    PrintWriter out = spec.commandLine().getOut();
    PrintWriter err = spec.commandLine().getErr();
    Explorer.Found found =
        new Explorer(
                new Player(engines, requests, http2, DefaultDispatchPolicy::new), failures, minutes)
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
    out.printf(
        Locale.ROOT,
        "%d histories, %d that differ, %d deep, %s%n",
        found.histories(),
        found.distinct(),
        found.deviations(),
        found.wrong() != null
            ? "a rule broken"
            : found.closed() ? "all of them, no rule broken" : "not all of them: the time was up");
    if (found.wrong() != null) {
      found.wrong().told().forEach(out::println);
      found.wrong().wrong().forEach(line -> out.println("broken: " + line));
    }
    out.flush();
    return found.wrong() == null ? 0 : 1;
  }
}
