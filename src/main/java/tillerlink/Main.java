package tillerlink;

import java.io.IOException;
import tillerlink.wirehost.MalformedWireException;
import tillerlink.wirehost.WireHost;

/** The command line: one subcommand, {@code wirehost}. */
public final class Main {
    private static final int OK = 0;
    private static final int FAULT = 1;
    private static final int USAGE = 2;

    private Main() {
    }

    public static void main(String[] args) {
        System.exit(run(args));
    }

    private static int run(String[] args) {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: java -jar tillerlink.jar wirehost");
            System.err.println("  wirehost   read batches from standard input, answer each on standard output");
            return USAGE;
        }
        try {
            new WireHost(Policy::new).serve(System.in, System.out);
            return OK;
        } catch (MalformedWireException e) {
            System.err.println("tillerlink: " + e.getMessage());
            return FAULT;
        } catch (IOException e) {
            System.err.println("tillerlink: cannot read or write the wire: " + e.getMessage());
            return FAULT;
        }
    }
}
