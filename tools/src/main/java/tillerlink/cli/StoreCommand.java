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

/** Inspects or compacts the store of a stopped gateway. */
@Command(
    name = "store",
    mixinStandardHelpOptions = true,
    description = "Inspect or compact the store of a stopped gateway.",
    subcommands = {StoreCommand.Check.class, StoreCommand.Show.class, StoreCommand.Compact.class})
final class StoreCommand implements Runnable {
  private static final long MAX_SEGMENT_BYTES = 1 << 20;
  private static final long MAX_STORE_BYTES = 1L << 30;

  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(
        spec.commandLine(), "a command is missing: check, show or compact");
  }

  /**
   * The base of the three commands. It opens the folder as the gateway would, which truncates a
   * torn tail of the log.
   */
  private abstract static class FolderCommand implements Callable<Integer> {
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
              MAX_SEGMENT_BYTES,
              MAX_STORE_BYTES)) {
        RecoveryReport report = table.open();
        PrintWriter out = spec.commandLine().getOut();
        report.told().forEach(out::println);
        if (!report.usable()) {
          out.flush();
          throw new IOException(folder + ": the store is not usable");
        }
        run(table, out);
        out.flush();
        return 0;
      }
    }

    abstract void run(DurableTable table, PrintWriter out) throws IOException;
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Check whether the store is intact.")
  static final class Check extends FolderCommand {
    @Override
    void run(DurableTable table, PrintWriter out) {
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
  static final class Show extends FolderCommand {
    @Override
    void run(DurableTable table, PrintWriter out) {
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
      description = "Write a snapshot and delete the log that it replaces.")
  static final class Compact extends FolderCommand {
    @Override
    void run(DurableTable table, PrintWriter out) throws IOException {
      table.snapshot();
      out.printf(
          Locale.ROOT,
          "%d keys in a snapshot as of record %d%n",
          table.values().size(),
          table.sequence());
    }
  }
}
