package tillerlink.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tillerlink.endpointcache.PersistentEndpointCache;
import tillerlink.store.DurableTable;
import tillerlink.store.FileSystemDirectory;
import tillerlink.store.RecoveryReport;

/** Looks at what a gateway remembers, while that gateway is stopped. */
@Command(
    name = "store",
    mixinStandardHelpOptions = true,
    description = "Look at, or compact, what a stopped gateway remembers.",
    subcommands = {StoreCommand.Check.class, StoreCommand.Show.class, StoreCommand.Compact.class})
final class StoreCommand implements Runnable {
  private static final long SEGMENT_MOST = 1 << 20;
  private static final long BYTES_MOST = 1L << 30;

  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(
        spec.commandLine(), "a command is missing: check, show or compact");
  }

  /**
   * What the three have in common: the folder is opened as its gateway would, which cuts off a torn
   * tail.
   */
  private abstract static class OnFolder implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(
        paramLabel = "DIR",
        description = "the gateway's own folder; its last part is the gateway's name")
    private Path folder;

    @Override
    public Integer call() throws IOException {
      if (!Files.isDirectory(folder)) {
        throw new IOException(folder + ": no such folder");
      }
      String name = folder.toAbsolutePath().normalize().getFileName().toString();
      try (DurableTable table =
          new DurableTable(
              new FileSystemDirectory(folder),
              PersistentEndpointCache.owner(name),
              SEGMENT_MOST,
              BYTES_MOST)) {
        RecoveryReport found = table.open();
        PrintWriter out = spec.commandLine().getOut();
        found.told().forEach(out::println);
        if (!found.usable()) {
          out.flush();
          throw new IOException(folder + ": the store can't be used");
        }
        act(table, out);
        out.flush();
        return 0;
      }
    }

    abstract void act(DurableTable table, PrintWriter out) throws IOException;
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Tell whether it is whole.")
  static final class Check extends OnFolder {
    @Override
    void act(DurableTable table, PrintWriter out) {
      out.printf(
          Locale.ROOT,
          "%s, %d keys as of record %d%n",
          table.recoveryReport().state().name().toLowerCase(Locale.ROOT),
          table.values().size(),
          table.sequence());
    }
  }

  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description = "Print every key and its value.")
  static final class Show extends OnFolder {
    @Override
    void act(DurableTable table, PrintWriter out) {
      table
          .values()
          .forEach(
              (key, value) ->
                  out.println(
                      key + "  " + new String(value, StandardCharsets.UTF_8).replace('\t', ' ')));
    }
  }

  @Command(
      name = "compact",
      mixinStandardHelpOptions = true,
      description = "Write a snapshot and drop the log that it makes needless.")
  static final class Compact extends OnFolder {
    @Override
    void act(DurableTable table, PrintWriter out) throws IOException {
      table.snapshot();
      out.printf(
          Locale.ROOT,
          "%d keys in a snapshot as of record %d%n",
          table.values().size(),
          table.sequence());
    }
  }
}
