package tillerlink.net.state;

import tillerlink.net.wire.HttpParseResult;
import tillerlink.net.wire.HttpRequestParser;

/**
 * The input of one client connection that has not been processed yet. It parses requests, counts
 * the retained bytes, and pauses reading from the connection while too many bytes are waiting.
 * Confined to the event-loop thread.
 */
final class ClientInput {
  /** The number of bytes that are read and discarded after a refusal before reading is paused. */
  private static final int MAX_DISCARDED_BYTES = 262_144;

  /**
   * The memory for input that each connection has for itself, in bytes. It is counted from the
   * connect on, so that a small request, such as one for a result, can be received at any time.
   */
  static final int OWN_BYTES = 4096;

  /**
   * The number of bytes that may wait behind a request in progress; it leaves room for a complete
   * further request. Reading is paused above it, or if the bytes do not fit, until that request has
   * been answered. While reading is paused, the gateway does not notice that the client closes the
   * connection, so that no attempt of its requests begins.
   */
  private static final int MAX_PIPELINED_BYTES = 131_072 + 16_384;

  private final HttpRequestParser parser = new HttpRequestParser();
  private final Channel channel;
  private final RetainedBytes retained;
  private boolean readingPaused;

  /** The memory of the waiting input beyond {@link #OWN_BYTES}, as counted, in bytes. */
  private int retainedByteCount;

  /** Whether that memory fits beside all that is retained for clients. */
  private boolean fits = true;

  /** The number of bytes received after the gateway closed the connection. */
  private int discardedBytes;

  ClientInput(Channel channel, RetainedBytes retained) {
    this.channel = channel;
    this.retained = retained;
  }

  /** Passes received bytes to the parser. */
  void add(byte[] bytes) {
    parser.feed(bytes);
  }

  /**
   * Counts bytes that were received after the gateway closed the connection, and pauses reading for
   * the rest of its life if there are too many of them.
   */
  void countDiscarded(int byteCount) {
    discardedBytes += byteCount;
    if (discardedBytes > MAX_DISCARDED_BYTES && !readingPaused) {
      readingPaused = true;
      channel.pauseReading(true);
    }
  }

  /** Returns the next complete request or a parse error, or null if more bytes are needed. */
  HttpParseResult next() {
    return parser.next();
  }

  /**
   * Returns whether the client waits for 100 Continue before it sends the body. Returns true only
   * once for each request.
   */
  boolean expectsContinue() {
    return parser.takeContinueExpected();
  }

  /** Returns whether a request has been received in part. */
  boolean hasPartialRequest() {
    return parser.hasPartialRequest();
  }

  /** Returns whether the waiting input fits beside all that is retained for clients. */
  boolean fits() {
    return fits;
  }

  /**
   * Updates the count of retained bytes, and pauses or resumes reading unless the gateway has
   * closed the connection.
   */
  void updateReadingPaused(boolean requestInProgress, boolean closed) {
    updateRetainedBytes();
    boolean pause = requestInProgress && (!fits || parser.unconsumedBytes() > MAX_PIPELINED_BYTES);
    if (pause != readingPaused && !closed) {
      readingPaused = pause;
      channel.pauseReading(pause);
    }
  }

  /** Returns whether reading is paused, so that a close by the client would not be noticed. */
  boolean isReadingPaused() {
    return readingPaused;
  }

  /**
   * Drops the input, because nothing more is parsed from this connection, and stops counting it as
   * retained.
   */
  void release() {
    parser.discard();
    updateRetainedBytes();
  }

  private void updateRetainedBytes() {
    int bytes = Math.max(0, parser.retainedBytes() - OWN_BYTES);
    retained.addInput(-retainedByteCount);
    fits = bytes == 0 || retained.tryReserveInput(bytes);
    if (!fits) {
      retained.addInput(bytes);
    }
    retainedByteCount = bytes;
  }
}
