package tillerlink.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import tillerlink.endpointcache.PersistentEndpointCache;
import tillerlink.net.lifecycle.GatewayServer;
import tillerlink.operator.OperatorFile;
import tillerlink.policy.DefaultDispatchPolicy;

/** Runs one gateway on sockets. */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description = "Run one gateway on sockets, configured by the file that EDGE_CONFIG names.")
final class ServeCommand implements Callable<Integer> {
  @Option(
      names = "--operator",
      paramLabel = "FILE",
      description =
          "the operator's file; its parts log, http2, store, members, channels"
              + " and statements are used")
  private Path operator;

  @Override
  public Integer call() throws Exception {
    OperatorFile file = operator == null ? null : OperatorFile.read(operator);
    if (file != null) {
      LogSetup.apply(file.log());
    }
    OperatorFile.StoreConfig store = file == null ? null : file.store();
    new GatewayServer()
        .serve(
            System.getenv(),
            DefaultDispatchPolicy::new,
            file == null ? null : file.http2(),
            assignment ->
                store == null
                    ? null
                    : PersistentEndpointCache.open(
                        Path.of(store.folder()), assignment, store.maxAge(), store.maxBytes()),
            file == null ? null : ExtensionBuilder.of(file));
    return 0;
  }
}
