package tillerlink.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tillerlink.operator.ConfigError;
import tillerlink.operator.OperatorFile;

/** Checks an operator's file and reports every error in it. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Check an operator's file; every error is reported with its line and column.")
final class CheckCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "FILE", description = "the operator's file")
  private Path file;

  @Override
  public Integer call() throws IOException {
    try {
      OperatorFile config = OperatorFile.read(file);
      spec.commandLine()
          .getOut()
          .printf(
              Locale.ROOT,
              "%s is fine: %d layouts, %d tracks, %d troubles%s%s%n",
              file,
              config.layouts().size(),
              config.requestClasses().size(),
              config.troubles().size(),
              config.fleet() == null
                  ? ""
                  : ", a fleet of " + config.fleet().engines().size() + " engines",
              sharedState(config));
      spec.commandLine().getOut().flush();
      return 0;
    } catch (OperatorFile.InvalidFileException e) {
      for (ConfigError error : e.errors()) {
        spec.commandLine().getErr().println(file + ":" + error);
      }
      return 1;
    }
  }

  /** Describes the blocks of the file that configure state shared by gateways. */
  private static String sharedState(OperatorFile config) {
    StringBuilder blocks = new StringBuilder();
    if (config.members() != null) {
      blocks
          .append("; a member of '")
          .append(config.members().fleet())
          .append("' at site ")
          .append(config.members().site())
          .append(" on ")
          .append(config.members().listen());
    }
    if (config.channels() != null) {
      blocks.append(", channels among ").append(config.channels().sites().size()).append(" sites");
    }
    if (config.statements() != null) {
      blocks
          .append(", statements by ")
          .append(config.statements().voters().size())
          .append(" voters");
    }
    return blocks.toString();
  }
}
