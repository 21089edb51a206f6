package tillerlink.fakes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHeader;
import tillerlink.net.http2.Frame;
import tillerlink.net.http2.FrameWriter;

/** A writer of responses on the streams of one connection, within the flow-control windows. */
final class Http2ResponseWriter {
  private final FrameWriter writer;
  private final Consumer<Http2ServerStream> onResponseSent;

  /** The connection's flow-control window, in bytes. */
  private long window = Frame.WINDOW_AT_START;

  /**
   * Creates a writer.
   *
   * @param onResponseSent called when the last frame of a stream's response has been written
   */
  Http2ResponseWriter(FrameWriter writer, Consumer<Http2ServerStream> onResponseSent) {
    this.writer = writer;
    this.onResponseSent = onResponseSent;
  }

  /** Increases the connection's flow-control window by a number of bytes. */
  void enlargeWindow(long increment) {
    window += increment;
  }

  /** Writes a response that consists of a status only and ends the stream. */
  void status(Http2ServerStream stream, int status) {
    writer.headers(
        stream.id,
        List.of(new BasicHeader(":status", Integer.toString(status))),
        true,
        Frame.FRAME_AT_START);
  }

  /** Writes an informational response (102) with a progress report of an attempt. */
  void progress(Http2ServerStream stream, String about, double level) {
    writer.headers(
        stream.id,
        List.of(
            new BasicHeader(":status", "102"),
            new BasicHeader("note-about", headerValue(about)),
            new BasicHeader("note-level", Double.toString(level))),
        false,
        Frame.FRAME_AT_START);
  }

  private static String headerValue(String about) {
    return switch (about) {
      case "frac" -> "share-done";
      case "missing" -> "megabytes-missing";
      default -> "parked";
    };
  }

  /** Writes the headers of a response; {@link #writePending} then writes its body, if any. */
  void start(Http2ServerStream stream, int status, byte[] body) {
    List<Header> headers = new ArrayList<>();
    headers.add(new BasicHeader(":status", Integer.toString(status)));
    headers.add(new BasicHeader("content-type", "text/tab-separated-values"));
    headers.add(new BasicHeader("content-length", Integer.toString(body.length)));
    writer.headers(stream.id, headers, body.length == 0, Frame.FRAME_AT_START);
    if (body.length == 0) {
      onResponseSent.accept(stream);
    } else {
      stream.responseBody = body;
    }
  }

  /** Writes as much of the pending bodies as the windows allow, in the order of the streams. */
  void writePending(Collection<Http2ServerStream> streams) {
    for (Http2ServerStream stream : List.copyOf(streams)) {
      while (stream.responseBody != null && window > 0 && stream.window > 0) {
        writeDataFrame(stream);
      }
    }
  }

  private void writeDataFrame(Http2ServerStream stream) {
    int frameBytes =
        (int)
            Math.min(
                Math.min(window, stream.window),
                Math.min(Frame.FRAME_AT_START, stream.responseBody.length - stream.sent));
    boolean endsStream = stream.sent + frameBytes == stream.responseBody.length;
    writer.frame(
        Frame.DATA,
        endsStream ? Frame.END_STREAM : 0,
        stream.id,
        stream.responseBody,
        stream.sent,
        frameBytes);
    window -= frameBytes;
    stream.window -= frameBytes;
    stream.sent += frameBytes;
    if (endsStream) {
      stream.responseBody = null;
      onResponseSent.accept(stream);
    }
  }
}
