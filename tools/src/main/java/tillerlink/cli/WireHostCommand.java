package tillerlink.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.wirehost.MalformedWireException;
import tillerlink.wirehost.WireHost;

/** Runs many gateways on the wire of the simulator. */
@Command(
    name = "wirehost",
    mixinStandardHelpOptions = true,
    description =
        "Read the simulator's batches from standard input and answer each on standard output.")
final class WireHostCommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    try {
      new WireHost(DefaultDispatchPolicy::new).serve(System.in, System.out);
      return 0;
    } catch (MalformedWireException e) {
      throw new IOException(e.getMessage(), e);
    }
  }
}
