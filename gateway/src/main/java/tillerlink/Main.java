package tillerlink;

import java.io.IOException;
import tillerlink.net.lifecycle.GatewayServer;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.wirehost.MalformedWireException;
import tillerlink.wirehost.WireHost;

/** The entry point, which takes one subcommand: {@code serve} or {@code wirehost}. */
public final class Main {
  private static final int OK = 0;
  private static final int FAILURE = 1;
  private static final int USAGE_ERROR = 2;

  private Main() {}

  public static void main(String[] args) {
    System.exit(run(args));
  }

  /**
   * Prints the reason on standard error and halts the process when a thread dies. Guards against a
   * process that stays alive but serves no clients because its I/O thread died; a process that
   * exits can be restarted.
   */
  private static void onThreadDeath(Thread thread, Throwable cause) {
    System.err.println("tillerlink: the thread '" + thread.getName() + "' died");
    cause.printStackTrace();
    Runtime.getRuntime().halt(FAILURE);
  }

  @SuppressWarnings("CatchAndPrintStackTrace") // Logging may not be set up yet; the process exits.
  private static int run(String[] args) {
    try {
      switch (args.length == 1 ? args[0] : "") {
        case "serve" -> {
          Thread.setDefaultUncaughtExceptionHandler(Main::onThreadDeath);
          new GatewayServer().serve(System.getenv(), DefaultDispatchPolicy::new);
        }
        case "wirehost" -> new WireHost(DefaultDispatchPolicy::new).serve(System.in, System.out);
        default -> {
          System.err.println("usage: java -jar tillerlink.jar serve|wirehost");
          System.err.println(
              "  serve      one gateway on sockets, configured by the file that EDGE_CONFIG names");
          System.err.println(
              "  wirehost   read batches from standard input, write responses to standard output");
          return USAGE_ERROR;
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
      // Guards against a process that stays alive without the thread that serves.
      e.printStackTrace();
    }
    return FAILURE;
  }
}
