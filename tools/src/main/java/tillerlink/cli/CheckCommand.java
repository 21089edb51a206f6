package tillerlink.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tillerlink.operator.Fault;
import tillerlink.operator.OperatorFile;

/** Checks an operator's file and tells all that is wrong in it. */
@Command(name = "check", mixinStandardHelpOptions = true,
        description = "Check an operator's file; every fault is told with its line and column.")
final class CheckCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;
    @Parameters(paramLabel = "FILE", description = "the operator's file")
    private Path file;

    @Override
    public Integer call() throws IOException {
        try {
            OperatorFile read = OperatorFile.read(file);
            spec.commandLine().getOut().printf(Locale.ROOT, "%s is fine: %d layouts, %d tracks, %d troubles%s%n", file,
                    read.layouts().size(), read.tracks().size(), read.troubles().size(),
                    read.fleet() == null ? "" : ", a fleet of " + read.fleet().engines().size() + " engines");
            spec.commandLine().getOut().flush();
            return 0;
        } catch (OperatorFile.FaultyException e) {
            for (Fault fault : e.faults()) {
                spec.commandLine().getErr().println(file + ":" + fault);
            }
            return 1;
        }
    }
}
