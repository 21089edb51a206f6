package tillerlink.net.http2;

import java.util.List;
import org.apache.hc.core5.http.Header;

/** What happened on an HTTP/2 connection, one type for each kind of event. */
public sealed interface Event {
  /**
   * The peer's settings were received, first or anew; {@code maxConcurrentStreams} may be open at
   * once.
   */
  record Limits(long maxConcurrentStreams) implements Event {}

  /** An interim response (1xx), ahead of the final one. */
  record Interim(int stream, List<Header> headers) implements Event {}

  /** The headers of the final response; {@code last} if it has no body. */
  record Response(int stream, int status, List<Header> headers, boolean last) implements Event {}

  /** A part of the response's body, possibly empty; {@code last} if it is the last. */
  record Body(int stream, byte[] bytes, boolean last) implements Event {}

  /** A stream ended before its response was complete. */
  record Ended(int stream, StreamTermination how, ErrorCode code) implements Event {}

  /** A GOAWAY: the peer takes no stream above {@code last}; those were reported as ended before. */
  record Leaving(int last, ErrorCode code) implements Event {}

  /** Our latest PING was acknowledged. */
  record Pong() implements Event {}

  /** A connection error: what is ready to be written goes out, then the connection is closed. */
  record Broken(ErrorCode code, String why) implements Event {}
}
