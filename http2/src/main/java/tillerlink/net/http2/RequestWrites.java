package tillerlink.net.http2;

import java.util.ArrayDeque;
import tillerlink.net.state.EngineTransport;

/**
 * Counts the writes to one connection's channel and determines which requests may have been
 * received whole by the engine. Owned by the event-loop thread.
 */
final class RequestWrites {
  private final EngineTransport.Owner owner;

  /** Fenced attempts whose last byte is being written, in that order. */
  private final ArrayDeque<AttemptStream> fenced = new ArrayDeque<>(0);

  private long begun;
  private long completed;

  /** The connection has ended, by whichever side. */
  private boolean connectionEnded;

  /** The channel has closed, so that it is known what was written. */
  private boolean channelClosed;

  RequestWrites(EngineTransport.Owner owner) {
    this.owner = owner;
  }

  /** Bytes were handed to the channel. */
  void onWriteBegun() {
    begun++;
  }

  /** The last byte of a stream's request was in the latest write. */
  void onLastByteHandedOver(AttemptStream stream) {
    stream.lastWriteNumber = begun;
    if (stream.inFlight.hasGuard()) {
      fenced.add(stream);
    }
  }

  /** The channel has written the earliest of the writes that were outstanding. */
  void onWriteCompleted() {
    completed++;
    while (!fenced.isEmpty() && fenced.peek().lastWriteNumber <= completed) {
      owner.attemptWritten(fenced.poll().inFlight);
    }
  }

  void onConnectionEnded() {
    connectionEnded = true;
  }

  void onChannelClosed() {
    channelClosed = true;
  }

  /**
   * Whether a request may have been received whole by the engine. The engine's events on a stream,
   * and the channel's own end, are reported after the completion of the writes before them. If the
   * connection was ended here, that is not so: what was handed over may be on its way although its
   * completion was not reported yet.
   */
  boolean mayHaveBeenReceived(AttemptStream stream) {
    return (connectionEnded && !channelClosed)
        ? stream.handedOver()
        : stream.lastWriteNumber <= completed;
  }
}
