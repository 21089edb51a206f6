package tillerlink.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.NoSuchFileException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The command line. Exit codes: 0 success, 1 a failure, which is reported in one line, 2 wrong
 * usage.
 */
@Command(
    name = "tillerlink",
    mixinStandardHelpOptions = true,
    version = "tillerlink 0.1.0",
    description = "A query gateway that decides what runs, where, and with how much memory.",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:fine", "1:a failure, reported in one line", "2:wrong usage"},
    subcommands = {
      ServeCommand.class,
      WireHostCommand.class,
      CheckCommand.class,
      TraceCommand.class,
      ReplayCommand.class,
      DemoCommand.class,
      StoreCommand.class,
      ExploreCommand.class
    })
public final class Tillerlink implements Runnable {
  @Spec private CommandSpec spec;

  /** Runs the command that the arguments name, and exits with its code. */
  public static void main(String[] args) {
    System.exit(execute(args));
  }

  /**
   * Runs one command.
   *
   * @return the exit code
   */
  public static int execute(String... args) {
    CommandLine line = new CommandLine(new Tillerlink());
    line.setCaseInsensitiveEnumValuesAllowed(true);
    line.setParameterExceptionHandler(Tillerlink::reportUsage);
    line.setExecutionExceptionHandler(Tillerlink::reportFailure);
    return line.execute(args);
  }

  private static int reportUsage(ParameterException e, String[] args) {
    PrintWriter err = e.getCommandLine().getErr();
    err.println("tillerlink: " + oneLine(e.getMessage()));
    err.println(
        "tillerlink: '"
            + e.getCommandLine().getCommandSpec().qualifiedName()
            + " --help' shows the usage");
    return ExitCode.USAGE;
  }

  private static int reportFailure(Exception e, CommandLine line, CommandLine.ParseResult parsed) {
    if (e instanceof IOException
        || e instanceof IllegalArgumentException
        || e instanceof IllegalStateException) {
      String message = e.getMessage() == null ? e.toString() : e.getMessage();
      line.getErr()
          .println(
              "tillerlink: "
                  + oneLine(
                      e instanceof NoSuchFileException ? message + ": no such file" : message));
    } else {
      e.printStackTrace(line.getErr());
    }
    return ExitCode.SOFTWARE;
  }

  private static String oneLine(String message) {
    return message.replaceAll("\\s*\\R\\s*", " ");
  }

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }
}
