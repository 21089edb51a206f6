package tillerlink.net.http2;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Sends the bodies of requests: a frame of each stream in turn, as far as both windows reach. */
final class BodySender {
  private final FrameWriter writer;
  private final StreamTable streams;
  private final FlowControl flow;

  /** Streams whose last byte was written since that was last asked. */
  private final List<Integer> completed = new ArrayList<>();

  BodySender(FrameWriter writer, StreamTable streams, FlowControl flow) {
    this.writer = writer;
    this.streams = streams;
    this.flow = flow;
  }

  /** Sends as much as the windows allow. */
  void send() {
    boolean progress = streams.hasUnsentBodies() && flow.sendWindow() > 0;
    while (progress) {
      progress = sendRound() && streams.hasUnsentBodies();
    }
  }

  /** Notes that a request's last byte was written. */
  void complete(int id) {
    completed.add(id);
  }

  /** The streams completed since the last call. */
  List<Integer> takeCompleted() {
    List<Integer> taken = List.copyOf(completed);
    completed.clear();
    return taken;
  }

  private boolean sendRound() {
    boolean progress = false;
    Iterator<Http2Stream> all = streams.all().iterator();
    while (all.hasNext() && flow.sendWindow() > 0) {
      Http2Stream stream = all.next();
      if (stream.canSend()) {
        flow.consumeSendWindow(stream.sendFrame(writer, flow.sendWindow()));
        progress = true;
        if (!stream.hasUnsentBody()) {
          streams.bodySent();
          complete(stream.id());
        }
      }
    }
    return progress;
  }
}
