package tillerlink.net.http2;

import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHeader;
import tillerlink.net.state.InFlightAttempt;

/** Builds the header lists of requests to engines, as docs/http2-wire.md defines them. */
final class EngineRequests {
  private EngineRequests() {}

  /**
   * Returns the headers of a request to execute an attempt's statement, which is the body.
   *
   * @param bodyLength bytes of the statement
   * @param now tenths of a millisecond
   */
  static List<Header> execute(InFlightAttempt inFlight, int bodyLength, long now) {
    List<Header> headers = start("POST", "/v1/run/" + inFlight.requestClass());
    headers.add(new BasicHeader("content-type", "application/sql"));
    headers.add(new BasicHeader("content-length", Integer.toString(bodyLength)));
    headers.add(new BasicHeader("hop-id", inFlight.id()));
    headers.add(new BasicHeader("hop-limit-ms", Long.toString(inFlight.millisLeft(now))));
    if (inFlight.key() != null) {
      headers.add(new BasicHeader("idempotency-key", inFlight.key()));
    }
    return headers;
  }

  /** Returns the headers of a request, without a body, for the rest of an attempt's result. */
  static List<Header> resume(InFlightAttempt inFlight) {
    List<Header> headers = start("GET", "/v1/results/" + inFlight.id());
    headers.add(new BasicHeader("range", "bytes=" + inFlight.resultSize() + "-"));
    return headers;
  }

  private static List<Header> start(String method, String path) {
    List<Header> headers = new ArrayList<>(9);
    headers.add(new BasicHeader(":method", method));
    headers.add(new BasicHeader(":scheme", "http"));
    headers.add(new BasicHeader(":authority", "engine"));
    headers.add(new BasicHeader(":path", path));
    return headers;
  }
}
