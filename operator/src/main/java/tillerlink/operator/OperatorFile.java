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
 * The operator's file, checked. Every block is optional; what is absent is null or empty.
 *
 * @param requestClasses in the order of the file; a row belongs to the first whose tests it passes
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
  /** The format of the log. */
  public record LogConfig(Form form, Level level) {}

  /** Plain text, or one JSON object per line. */
  public enum Form {
    TEXT,
    JSON
  }

  /** The lowest level that is logged. */
  public enum Level {
    DEBUG,
    INFO,
    WARN,
    ERROR
  }

  /** Defaults of a replay; times are tenths of a millisecond. */
  public record ReplayDefaults(
      double load,
      WorkloadScaling.Scale scale,
      long window,
      double error,
      double maxBadShare,
      long seed) {}

  /**
   * Where gateways store what outlives them.
   *
   * @param maxAge the age from which stored data is not trusted, in tenths of a millisecond
   */
  public record StoreConfig(String folder, long maxAge, long maxBytes) {}

  /** The file is invalid; carries all its errors with their places. */
  public static final class InvalidFileException extends IOException {
    private static final long serialVersionUID = 1L;
    private final transient List<ConfigError> faults;

    InvalidFileException(Path file, List<ConfigError> faults) {
      super(
          file
              + ":"
              + faults.get(0)
              + (faults.size() == 1 ? "" : " (and " + (faults.size() - 1) + " more faults)"));
      this.faults = faults;
    }

    /** All errors in the order of the file. */
    public List<ConfigError> errors() {
      return faults;
    }
  }

  /**
   * Reads and checks a file.
   *
   * @throws InvalidFileException if the file has errors
   */
  public static OperatorFile read(Path path) throws IOException {
    List<ConfigError> faults = new ArrayList<>();
    Section all = HclReader.read(path, faults);
    OperatorFile file =
        new OperatorFile(
            LogPart.read(all.one("log")),
            Http2Part.read(all.one("http2")),
            StorePart.read(all.one("store")),
            MembersConfig.read(all.one("members")),
            ChannelsConfig.read(all.one("channels")),
            StatementsConfig.read(all.one("statements")),
            LayoutPart.read(all),
            FleetPart.read(all.one("fleet")),
            RequestClassPart.read(all),
            TroublePart.read(all),
            ReplayPart.read(all.one("replay")));
    all.close();
    ReferenceCheck.check(all, file);
    if (!faults.isEmpty()) {
      throw new InvalidFileException(path, faults.stream().sorted().distinct().toList());
    }
    return file;
  }
}
