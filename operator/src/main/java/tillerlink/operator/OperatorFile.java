package tillerlink.operator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.ScheduledFault;
import tillerlink.net.http2.Http2TransportFactory;
import tillerlink.trace.Layout;
import tillerlink.workload.RequestClassSpec;
import tillerlink.workload.WorkloadScaling;

/**
 * The validated content of an operator's file. Every block is optional: an absent block is null,
 * and a list of absent blocks is empty.
 *
 * @param requestClasses the request classes in the order of the file; a row belongs to the first
 *     class whose tests it passes
 * @param troubles the faults and operations of a replay, in the order of the file
 */
public record OperatorFile(
    LogConfig log,
    Http2TransportFactory http2,
    StoreConfig store,
    MembersConfig members,
    ChannelsConfig channels,
    StatementsConfig statements,
    List<Layout> layouts,
    Fleet fleet,
    List<RequestClassSpec> requestClasses,
    List<ScheduledFault> troubles,
    ReplayDefaults replay) {
  /** The format and the lowest level of the log. */
  public record LogConfig(Form form, Level level) {}

  /** The format of a log line: plain text or a JSON object. */
  public enum Form {
    TEXT,
    JSON
  }

  /** A log level; lines of lower levels than the configured one are not logged. */
  public enum Level {
    DEBUG,
    INFO,
    WARN,
    ERROR
  }

  /**
   * Default settings of a replay.
   *
   * @param load the share of the fleet's cores that the work should take
   * @param scale which of trace time and number of jobs is adapted to reach the load
   * @param window the time within which rows are put in order, in tenths of a millisecond of the
   *     trace
   * @param error the standard deviation (sigma) of the clients' estimation error
   * @param maxBadShare the share of malformed rows above which a replay stops
   * @param seed the seed of the random numbers
   */
  public record ReplayDefaults(
      double load,
      WorkloadScaling.Scale scale,
      long window,
      double error,
      double maxBadShare,
      long seed) {}

  /**
   * Settings of the persistent store of a gateway.
   *
   * @param folder the directory of the store
   * @param maxAge the age from which stored data is not trusted, in tenths of a millisecond
   * @param maxBytes the maximum memory of the store, in bytes
   */
  public record StoreConfig(String folder, long maxAge, long maxBytes) {}

  /** Thrown if an operator's file is invalid; carries all its errors with their positions. */
  public static final class InvalidFileException extends IOException {
    private static final long serialVersionUID = 1L;
    private final transient List<ConfigError> errors;

    InvalidFileException(Path file, List<ConfigError> errors) {
      super(
          file
              + ":"
              + errors.get(0)
              + (errors.size() == 1 ? "" : " (and " + (errors.size() - 1) + " more errors)"));
      this.errors = errors;
    }

    /** Returns all errors in the order of the file. */
    public List<ConfigError> errors() {
      return errors;
    }
  }

  /**
   * Reads and validates a file.
   *
   * @throws InvalidFileException if the file has errors; it lists all of them
   * @throws IOException if the file cannot be read, exceeds 1 MiB or is not UTF-8
   */
  public static OperatorFile read(Path path) throws IOException {
    List<ConfigError> errors = new ArrayList<>();
    Section root = HclReader.read(path, errors);
    OperatorFile file =
        new OperatorFile(
            LogPart.read(root.block("log")),
            Http2Part.read(root.block("http2")),
            StorePart.read(root.block("store")),
            MembersConfig.read(root.block("members")),
            ChannelsConfig.read(root.block("channels")),
            StatementsConfig.read(root.block("statements")),
            LayoutPart.read(root),
            FleetPart.read(root.block("fleet")),
            RequestClassPart.read(root),
            TroublePart.read(root),
            ReplayPart.read(root.block("replay")));
    root.reportUnknown();
    ReferenceCheck.check(root, file);
    if (!errors.isEmpty()) {
      throw new InvalidFileException(path, errors.stream().sorted().distinct().toList());
    }
    return file;
  }
}
