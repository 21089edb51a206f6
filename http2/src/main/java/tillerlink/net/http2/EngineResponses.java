package tillerlink.net.http2;

import java.util.List;
import org.apache.hc.core5.http.Header;
import tillerlink.model.AttemptProgress;

/** Interprets the header lists of engines' responses, as docs/http2-wire.md defines them. */
final class EngineResponses {
  private static final int OK = 200;
  private static final int PARTIAL_CONTENT = 206;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private EngineResponses() {}

  /**
   * The attempt progress that an interim response reports.
   *
   * @param kind null if the response reports no kind or an unknown one
   * @param level NaN if the reported level is not a valid number
   */
  record Progress(AttemptProgress kind, double level) {
    boolean isValid() {
      return kind != null && !Double.isNaN(level);
    }
  }

  /** Reads the attempt progress from the headers of an interim response. */
  static Progress parseProgress(List<Header> headers) {
    AttemptProgress kind = null;
    double level = 0;
    for (Header header : headers) {
      switch (header.getName()) {
        case "note-about" -> kind = parseKind(header.getValue());
        case "note-level" -> level = parseLevel(header.getValue());
        default -> {}
      }
    }
    return new Progress(kind, level);
  }

  private static AttemptProgress parseKind(String text) {
    return switch (text) {
      case "share-done" -> AttemptProgress.PROGRESS;
      case "megabytes-missing" -> AttemptProgress.SPILLS;
      case "parked" -> AttemptProgress.WAITS;
      default -> null;
    };
  }

  private static double parseLevel(String text) {
    return text.matches("[0-9]{1,9}([.][0-9]{1,9})?") ? Double.parseDouble(text) : Double.NaN;
  }

  /**
   * Returns true if the response carries a result.
   *
   * @param resumed whether the rest of a partly received result was requested; its status is 206
   *     and not 200
   */
  static boolean hasResult(Event.Response response, boolean resumed) {
    return response.status() == (resumed ? PARTIAL_CONTENT : OK);
  }

  /**
   * Returns how a response without a result ends its stream.
   *
   * @param resumed whether the rest of a partly received result was requested
   */
  static StreamTermination termination(Event.Response response, boolean resumed) {
    if (resumed) {
      return StreamTermination.GARBLED;
    }
    boolean executed =
        response.headers().stream()
            .noneMatch(
                header -> header.getName().equals("hop-ran") && header.getValue().equals("no"));
    if (executed) {
      return StreamTermination.ENGINE_ERROR;
    }
    boolean full =
        response.status() == TOO_MANY_REQUESTS || response.status() == SERVICE_UNAVAILABLE;
    return full ? StreamTermination.ENGINE_FULL : StreamTermination.NOT_EXECUTED;
  }
}
