package tillerlink.net.http2;

import java.util.List;
import org.apache.hc.core5.http.Header;

/** An event on an HTTP/2 client connection. */
public sealed interface Event {
  /**
   * A SETTINGS frame was received, either the first one or a later change.
   *
   * @param maxConcurrentStreams how many streams may be open at once; {@code Long.MAX_VALUE} if the
   *     peer states no limit
   */
  record SettingsReceived(long maxConcurrentStreams) implements Event {}

  /** An interim response (1xx) was received, which precedes the final response. */
  record InterimResponse(int streamId, List<Header> headers) implements Event {}

  /**
   * The headers of the final response were received.
   *
   * @param endStream whether the response ends with its headers and has no body
   */
  record Response(int streamId, int status, List<Header> headers, boolean endStream)
      implements Event {}

  /**
   * A part of the response's body was received.
   *
   * @param bytes the part, possibly empty
   * @param endStream whether the response ends with this part
   */
  record Body(int streamId, byte[] bytes, boolean endStream) implements Event {}

  /** A stream ended before its response was complete. */
  record StreamEnded(int streamId, StreamTermination termination, ErrorCode code)
      implements Event {}

  /**
   * A GOAWAY was received. The streams above its last id were reported as ended before this event.
   *
   * @param lastStreamId the highest stream id that the peer processes
   */
  record GoAwayReceived(int lastStreamId, ErrorCode code) implements Event {}

  /** The latest PING of this side was acknowledged. */
  record PingAcknowledged() implements Event {}

  /**
   * The connection failed with a connection error: the owner writes the pending output, which ends
   * with a GOAWAY, and closes the connection.
   *
   * @param reason the text to log
   */
  record ConnectionFailed(ErrorCode code, String reason) implements Event {}
}
