package tillerlink.net.wire;

import java.util.Arrays;

/**
 * Writer of one response, which encodes it in pieces of bounded length. A result takes several
 * times as many bytes in its encoded form as it does in memory, so that form is never held whole.
 */
public final class ResponseWriter {
  /** The greatest length of a piece, in bytes. */
  static final int MAX_PIECE_BYTES = 16_384;

  /** The content of a response, read from its start to its end. */
  interface ContentReader {
    /** Returns the number of bytes of the content that were not read yet. */
    int remaining();

    /**
     * Reads the next bytes of the content.
     *
     * @param target receives the bytes
     * @param start the index in {@code target} of the first byte
     * @param count the number of bytes to read, at most {@link #remaining}
     */
    void read(byte[] target, int start, int count);
  }

  private final ContentReader content;

  /** The status line and the header fields; null once they were returned. */
  private byte[] head;

  ResponseWriter(byte[] head, ContentReader content) {
    this.head = head;
    this.content = content;
  }

  /** Returns whether the last piece was returned. */
  public boolean isComplete() {
    return head == null && content.remaining() == 0;
  }

  /** Returns the next piece; must not be called once the writer is complete. */
  public byte[] next() {
    int headLength = head == null ? 0 : head.length;
    int contentLength = Math.min(MAX_PIECE_BYTES - headLength, content.remaining());
    byte[] piece =
        head == null ? new byte[contentLength] : Arrays.copyOf(head, headLength + contentLength);
    content.read(piece, headLength, contentLength);
    head = null;
    return piece;
  }
}
