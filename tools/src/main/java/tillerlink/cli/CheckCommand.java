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

/** Checks an operator's file and tells all that is wrong in it. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Check an operator's file; every fault is told with its line and column.")
final class CheckCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "FILE", description = "the operator's file")
  private Path file;

  @Override
  public Integer call() throws IOException {
    try {
      OperatorFile read = OperatorFile.read(file);
      spec.commandLine()
          .getOut()
          .printf(
              Locale.ROOT,
              "%s is fine: %d layouts, %d tracks, %d troubles%s%s%n",
              file,
              read.layouts().size(),
              read.requestClasses().size(),
              read.troubles().size(),
              read.fleet() == null
                  ? ""
                  : ", a fleet of " + read.fleet().engines().size() + " engines",
              sharedState(read));
      spec.commandLine().getOut().flush();
      return 0;
    } catch (OperatorFile.InvalidFileException e) {
      for (ConfigError error : e.errors()) {
        spec.commandLine().getErr().println(file + ":" + error);
      }
      return 1;
    }
  }

  /** Describes the blocks of state that gateways share. */
  private static String sharedState(OperatorFile read) {
    StringBuilder all = new StringBuilder();
    if (read.members() != null) {
      all.append("; a member of '")
          .append(read.members().fleet())
          .append("' at site ")
          .append(read.members().site())
          .append(" on ")
          .append(read.members().listen());
    }
    if (read.channels() != null) {
      all.append(", channels among ").append(read.channels().sites().size()).append(" sites");
    }
    if (read.statements() != null) {
      all.append(", statements by ").append(read.statements().voters().size()).append(" voters");
    }
    return all.toString();
  }
}
