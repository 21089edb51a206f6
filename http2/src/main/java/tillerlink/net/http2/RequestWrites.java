package tillerlink.net.http2;

import java.util.ArrayDeque;
import tillerlink.net.state.EngineTransport;

/**
 * Counts the writes to the channel of a connection, to determine which requests the engine may have
 * received completely. Owned by the event-loop thread.
 */
final class RequestWrites {
  private final EngineTransport.Owner owner;

  /** Fenced attempts whose last byte is being written, in the order of the writes. */
  private final ArrayDeque<AttemptStream> fenced = new ArrayDeque<>(0);

  private long begun;
  private long completed;

  /** True once the connection was ended by either side. */
  private boolean connectionEnded;

  /** True once the channel has closed, so that all completed writes are known. */
  private boolean channelClosed;

  RequestWrites(EngineTransport.Owner owner) {
    this.owner = owner;
  }

  /** Counts a write that was handed to the channel. */
  void onWriteBegun() {
    begun++;
  }

  /** Records that the last byte of a stream's request is in the latest write. */
  void onLastByteHandedOver(AttemptStream stream) {
    stream.lastWriteNumber = begun;
    if (stream.inFlight.hasGuard()) {
      fenced.add(stream);
    }
  }

  /** Records that the channel has completed the earliest of the outstanding writes. */
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
   * Returns true if the engine may have received a request completely. The engine's events on a
   * stream and the close of the channel are reported after the completion of the writes before
   * them. That does not hold if this side ended the connection: bytes handed to the channel may
   * still be sent, although their write was not yet reported as completed.
   */
  boolean mayHaveBeenReceived(AttemptStream stream) {
    return (connectionEnded && !channelClosed)
        ? stream.isRequestHandedOver()
        : stream.lastWriteNumber <= completed;
  }
}
