package tillerlink.operator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.Trouble;
import tillerlink.net.http2.Http2TransportFactory;
import tillerlink.trace.Layout;
import tillerlink.workload.RequestClassSpec;
import tillerlink.workload.WorkloadScaling;

/**
 * What the operator has written, checked. Every part is optional; what is absent is null or empty.
 *
 * @param requestClasses in the order of the file: the first whose tests a row passes takes it
 */
public record OperatorFile(
    Log log,
    Http2TransportFactory http2,
    Storing store,
    Members members,
    Channels channels,
    Statements statements,
    List<Layout> layouts,
    Fleet fleet,
    List<RequestClassSpec> requestClasses,
    List<Trouble> troubles,
    Replaying replay) {
  /** How log lines look. */
  public record Log(Form form, Level level) {}

  /** Plain text, or a JSON object a line. */
  public enum Form {
    TEXT,
    JSON
  }

  /** What is logged at the least. */
  public enum Level {
    DEBUG,
    INFO,
    WARN,
    ERROR
  }

  /** What a replay is by default; times are tenths of a millisecond. */
  public record Replaying(
      double load,
      WorkloadScaling.Scale scale,
      long window,
      double error,
      double badMost,
      long seed) {}

  /**
   * Where gateways remember what outlives them; the age from which it is not trusted, in tenths of
   * a millisecond.
   */
  public record Storing(String folder, long ageMost, long maxBytes) {}

  /** The file as a whole is wrong: all its faults, each with its place. */
  public static final class FaultyException extends IOException {
    private static final long serialVersionUID = 1L;
    private final transient List<Fault> faults;

    FaultyException(Path file, List<Fault> faults) {
      super(
          file
              + ":"
              + faults.get(0)
              + (faults.size() == 1 ? "" : " (and " + (faults.size() - 1) + " more faults)"));
      this.faults = faults;
    }

    public List<Fault> faults() {
      return faults;
    }
  }

  /**
   * @throws FaultyException if anything in it can't be used
   */
  public static OperatorFile read(Path path) throws IOException {
    List<Fault> faults = new ArrayList<>();
    Section all = HclReader.read(path, faults);
    OperatorFile file =
        new OperatorFile(
            LogPart.read(all.one("log")),
            Http2Part.read(all.one("http2")),
            StorePart.read(all.one("store")),
            Members.read(all.one("members")),
            Channels.read(all.one("channels")),
            Statements.read(all.one("statements")),
            LayoutPart.read(all),
            FleetPart.read(all.one("fleet")),
            RequestClassPart.read(all),
            TroublePart.read(all),
            ReplayPart.read(all.one("replay")));
    all.close();
    NamesCheck.check(all, file);
    if (!faults.isEmpty()) {
      throw new FaultyException(path, faults.stream().sorted().distinct().toList());
    }
    return file;
  }
}
