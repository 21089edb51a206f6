package tillerlink.net.http2;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Sends request bodies round-robin, one DATA frame per stream and round, within the flow-control
 * windows of the connection and of each stream.
 */
final class BodySender {
  private final FrameWriter writer;
  private final StreamTable streams;
  private final FlowControl flowControl;

  /** Streams whose request was encoded to its end since the last {@link #takeSentRequests}. */
  private final List<Integer> sentRequests = new ArrayList<>();

  BodySender(FrameWriter writer, StreamTable streams, FlowControl flowControl) {
    this.writer = writer;
    this.streams = streams;
    this.flowControl = flowControl;
  }

  /** Sends as much of the bodies as the flow-control windows allow. */
  void send() {
    boolean progress = streams.hasUnsentBodies() && flowControl.sendWindow() > 0;
    while (progress) {
      progress = sendRound() && streams.hasUnsentBodies();
    }
  }

  /**
   * Records that a request was encoded to its end.
   *
   * @param id the id of its stream
   */
  void onRequestSent(int id) {
    sentRequests.add(id);
  }

  /** Returns the ids of streams whose request was encoded to its end since the last call. */
  List<Integer> takeSentRequests() {
    List<Integer> ids = List.copyOf(sentRequests);
    sentRequests.clear();
    return ids;
  }

  private boolean sendRound() {
    boolean progress = false;
    Iterator<Http2Stream> all = streams.all().iterator();
    while (all.hasNext() && flowControl.sendWindow() > 0) {
      Http2Stream stream = all.next();
      if (stream.canSend()) {
        flowControl.consumeSendWindow(stream.sendFrame(writer, flowControl.sendWindow()));
        progress = true;
        if (!stream.hasUnsentBody()) {
          streams.bodySent();
          onRequestSent(stream.id());
        }
      }
    }
    return progress;
  }
}
