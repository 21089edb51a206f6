package tillerlink.net.http2;

import java.util.List;
import org.apache.hc.core5.http.Header;

/** What happened on a connection, one typed value for each thing. */
public sealed interface Event {
  /** The peer's settings came, first or anew: how many streams it lets be open. */
  record Limits(long streamsMost) implements Event {}

  /** Word ahead of the answer (1xx). */
  record Interim(int stream, List<Header> headers) implements Event {}

  /** The answer began; {@code last} means that it has no body. */
  record Answer(int stream, int status, List<Header> headers, boolean last) implements Event {}

  /** A part of its body. */
  record Body(int stream, byte[] bytes, boolean last) implements Event {}

  /** A stream ended otherwise than by its whole answer. */
  record Ended(int stream, StreamTermination how, ErrorCode code) implements Event {}

  /** The peer takes no streams beyond that id; those above it have been told of as ended. */
  record Leaving(int last, ErrorCode code) implements Event {}

  /** The path works. */
  record Pong() implements Event {}

  /** The connection can't go on; what was written goes out, then it is closed. */
  record Broken(ErrorCode code, String why) implements Event {}
}
