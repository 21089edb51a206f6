package tillerlink;

import java.io.IOException;
import tillerlink.net.lifecycle.GatewayServer;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.wirehost.MalformedWireException;
import tillerlink.wirehost.WireHost;

/** The command line: one subcommand, {@code serve} or {@code wirehost}. */
public final class Main {
  private static final int OK = 0;
  private static final int FAULT = 1;
  private static final int USAGE = 2;

  private Main() {}

  public static void main(String[] args) {
    System.exit(run(args));
  }

  /**
   * Guards against a process that lives on and serves nobody, since its thread for reading and
   * writing died: it ends with the reason on standard error, and is started anew.
   */
  private static void died(Thread thread, Throwable why) {
    System.err.println("tillerlink: the thread '" + thread.getName() + "' died");
    why.printStackTrace();
    Runtime.getRuntime().halt(FAULT);
  }

  @SuppressWarnings("CatchAndPrintStackTrace") // There may be no log yet; the process ends.
  private static int run(String[] args) {
    try {
      switch (args.length == 1 ? args[0] : "") {
        case "serve" -> {
          Thread.setDefaultUncaughtExceptionHandler(Main::died);
          new GatewayServer().serve(System.getenv(), DefaultDispatchPolicy::new);
        }
        case "wirehost" -> new WireHost(DefaultDispatchPolicy::new).serve(System.in, System.out);
        default -> {
          System.err.println("usage: java -jar tillerlink.jar serve|wirehost");
          System.err.println("  serve      one gateway on sockets, as EDGE_CONFIG tells it");
          System.err.println(
              "  wirehost   read batches from standard input, answer each on standard output");
          return USAGE;
        }
      }
      return OK;
    } catch (MalformedWireException e) {
      System.err.println("tillerlink: " + e.getMessage());
    } catch (IOException e) {
      System.err.println("tillerlink: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
    } catch (InterruptedException e) {
      System.err.println("tillerlink: interrupted");
    } catch (RuntimeException | Error e) {
      // Guards against a process that lives on without the thread that serves.
      e.printStackTrace();
    }
    return FAULT;
  }
}
