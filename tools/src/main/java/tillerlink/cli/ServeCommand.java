package tillerlink.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import tillerlink.Policy;
import tillerlink.net.life.Node;
import tillerlink.operator.OperatorFile;

/** One gateway on sockets. */
@Command(name = "serve", mixinStandardHelpOptions = true,
        description = "Serve as one gateway on sockets, as the file that EDGE_CONFIG names tells it.")
final class ServeCommand implements Callable<Integer> {
    @Option(names = "--operator", paramLabel = "FILE", description = "the operator's file; its log part is used")
    private Path operator;

    @Override
    public Integer call() throws Exception {
        if (operator != null) {
            Logs.set(OperatorFile.read(operator).log());
        }
        new Node().serve(System.getenv(), Policy::new);
        return 0;
    }
}
