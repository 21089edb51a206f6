package tillerlink.net.state;

import tillerlink.net.wire.HttpParseResult;
import tillerlink.net.wire.HttpRequestParser;

/**
 * What a client sent and was not yet processed: parses it, counts what of it is retained, and
 * pauses reading from the connection where too much waits. Owned by the event-loop thread.
 */
final class ClientInput {
  /** How much is read and discarded after a refusal. */
  private static final int MAX_DISCARDED = 262_144;

  /**
   * More than this beside a request in progress, where memory is short, and nothing further is read
   * until that is answered; else a whole request. Where nothing is read, its end is not seen
   * either.
   */
  private static final int MAX_PIPELINED_WHEN_FULL = 16_384;

  private static final int MAX_PIPELINED = 131_072 + MAX_PIPELINED_WHEN_FULL;

  private final HttpRequestParser parser = new HttpRequestParser();
  private final Channel channel;
  private final RetainedBytes retained;
  private boolean readingPaused;

  /** Bytes that are counted as retained. */
  private int counted;

  private int discarded;

  ClientInput(Channel channel, RetainedBytes retained) {
    this.channel = channel;
    this.retained = retained;
  }

  void add(byte[] bytes) {
    parser.feed(bytes);
  }

  /** Bytes came after the connection was closed here. */
  void discard(int more) {
    discarded += more;
    if (discarded > MAX_DISCARDED && !readingPaused) {
      readingPaused = true;
      channel.pauseReading(true);
    }
  }

  /** The next whole request, or what can't be one; null if more has to come. */
  HttpParseResult next() {
    return parser.next();
  }

  /** Whether the client waits for 100 Continue before it sends the body. */
  boolean wantsContinue() {
    return parser.wantsGoOn();
  }

  /** Whether a request has begun to come and is not whole. */
  boolean midway() {
    return parser.midway();
  }

  /** Whether more waits than is retained for one connection where memory is short. */
  boolean exceedsLimit() {
    return retained.isFull() && parser.waiting() > MAX_PIPELINED_WHEN_FULL;
  }

  /** Counts what waits, and pauses or resumes reading unless the connection was closed here. */
  void regulate(boolean requestInProgress, boolean closed) {
    count(parser.waiting());
    int limit = retained.isFull() ? MAX_PIPELINED_WHEN_FULL : MAX_PIPELINED;
    boolean pause = requestInProgress && parser.waiting() > limit;
    if (pause != readingPaused && !closed) {
      readingPaused = pause;
      channel.pauseReading(pause);
    }
  }

  /** The connection has ended: nothing of it is retained any more. */
  void release() {
    count(0);
  }

  private void count(int bytes) {
    retained.add(bytes - counted);
    counted = bytes;
  }
}
