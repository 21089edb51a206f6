package tillerlink.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import tillerlink.Policy;
import tillerlink.net.life.Node;

/** One gateway on sockets. */
@Command(name = "serve", mixinStandardHelpOptions = true,
        description = "Serve as one gateway on sockets, as the file that EDGE_CONFIG names tells it.")
final class ServeCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        new Node().serve(System.getenv(), Policy::new);
        return 0;
    }
}
