package tillerlink.net.http2;

import java.util.List;
import org.apache.hc.core5.http.Header;
import tillerlink.model.AttemptProgress;

/** What the header lists of engines' responses mean, as docs/http2-wire.md defines them. */
final class EngineResponses {
  private static final int OK = 200;
  private static final int PARTIAL_CONTENT = 206;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private EngineResponses() {}

  /**
   * Progress of an attempt.
   *
   * @param kind null if the response reports none that is known
   * @param level not a number if it is none
   */
  record Progress(AttemptProgress kind, double level) {
    boolean isValid() {
      return kind != null && !Double.isNaN(level);
    }
  }

  static Progress progress(List<Header> headers) {
    AttemptProgress kind = null;
    double level = 0;
    for (Header header : headers) {
      switch (header.getName()) {
        case "note-about" -> kind = kind(header.getValue());
        case "note-level" -> level = amount(header.getValue());
        default -> {}
      }
    }
    return new Progress(kind, level);
  }

  private static AttemptProgress kind(String text) {
    return switch (text) {
      case "share-done" -> AttemptProgress.PROGRESS;
      case "megabytes-missing" -> AttemptProgress.SPILLS;
      case "parked" -> AttemptProgress.WAITS;
      default -> null;
    };
  }

  private static double amount(String text) {
    return text.matches("[0-9]{1,9}([.][0-9]{1,9})?") ? Double.parseDouble(text) : Double.NaN;
  }

  /** Whether a response brings a result, or the rest of one that was resumed. */
  static boolean bringsResult(Event.Response response, boolean resumed) {
    return response.status() == (resumed ? PARTIAL_CONTENT : OK);
  }

  /** What a response that brings no result means for its attempt. */
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
