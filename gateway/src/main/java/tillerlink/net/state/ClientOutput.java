package tillerlink.net.state;

import java.util.ArrayDeque;
import tillerlink.net.wire.ClientAnswer;
import tillerlink.net.wire.ResponseWriter;

/**
 * The output of one client connection: the answer that is being sent, piece by piece, and the
 * writes that are not complete. Confined to the event-loop thread.
 */
final class ClientOutput {
  /** The length of an answer, in bytes, that is sent even if the limit on memory is reached. */
  private static final int SMALL_ANSWER_BYTES = 16_384;

  private final Channel channel;
  private final RetainedBytes retained;

  /** The sizes in bytes of the writes that have not completed yet, oldest first. */
  private final ArrayDeque<Integer> unwrittenSizes = new ArrayDeque<>();

  /** The answer of which a part was not passed to the channel yet, or null. */
  private ResponseWriter writer;

  /** The bytes of that answer that are retained for this connection alone. */
  private int answerBytes;

  ClientOutput(Channel channel, RetainedBytes retained) {
    this.channel = channel;
    this.retained = retained;
  }

  /** Returns whether an answer fits beside all that is retained for clients. */
  boolean hasRoomFor(ClientAnswer answer) {
    return answer.retainedBytes() <= SMALL_ANSWER_BYTES
        || retained.hasRoomFor(answer.retainedBytes());
  }

  /**
   * Begins to send an answer.
   *
   * @param retainedBytes the bytes of memory that the answer takes, unless they are counted
   *     elsewhere until it has been sent
   */
  void send(ClientAnswer answer, int retainedBytes) {
    writer = answer.writer();
    answerBytes = retainedBytes;
    retained.add(retainedBytes);
    writeNextPiece();
  }

  /** Writes bytes that are not a part of an answer. */
  void write(byte[] bytes) {
    unwrittenSizes.add(bytes.length);
    retained.add(bytes.length);
    channel.write(bytes);
  }

  private void writeNextPiece() {
    write(writer.next());
    if (writer.isComplete()) {
      releaseAnswer();
    }
  }

  private void releaseAnswer() {
    writer = null;
    retained.add(-answerBytes);
    answerBytes = 0;
  }

  /**
   * Called when the oldest write has completed. Passes the next piece of the answer to the channel
   * once no other write is pending.
   */
  void onWritten() {
    retained.add(-unwrittenSizes.poll());
    if (unwrittenSizes.isEmpty() && writer != null) {
      writeNextPiece();
    }
  }

  /** Returns whether the last piece of the answer was passed to the channel. */
  boolean isAnswerPassed() {
    return writer == null;
  }

  /** Returns whether a write is pending, as it always is while a part of an answer is left. */
  boolean isPending() {
    return !unwrittenSizes.isEmpty();
  }

  /** Stops counting the output as retained, because the connection has ended. */
  void release() {
    releaseAnswer();
    unwrittenSizes.forEach(size -> retained.add(-size));
    unwrittenSizes.clear();
  }
}
