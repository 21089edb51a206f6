package tillerlink.net.http2;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http2.hpack.HPackDecoder;
import org.apache.hc.core5.http2.hpack.HPackException;
import org.apache.hc.core5.http2.hpack.HeaderListConstraintException;

/**
 * Joins HEADERS and CONTINUATION frames to header blocks and decodes them (RFC 9113, section 4.3).
 * The size of a block, the number of its frames and the size of the decoded list are bounded. Every
 * block must be decoded, also that of a stream that is over: the compression table is shared.
 */
final class HeaderBlockReader {
  /** The largest decoded header list that we take; declared to the peer. */
  static final int MAX_LIST_SIZE = 16_384;

  private static final int TABLE_SIZE = 4096;
  private static final int MAX_BLOCK_SIZE = 16_384;
  private static final int MAX_CONTINUATIONS = 8;

  /** A decoded header list; {@code last} if its HEADERS frame ended the stream. */
  record HeaderList(int stream, List<Header> headers, boolean last) {}

  private final HPackDecoder decoder = new HPackDecoder(TABLE_SIZE, StandardCharsets.US_ASCII);

  /** The stream whose block is not yet complete, or 0. */
  private int stream;

  private boolean last;
  private int continuations;
  private byte[] block = new byte[0];

  HeaderBlockReader() {
    decoder.setMaxListSize(MAX_LIST_SIZE);
  }

  /** Whether a frame is allowed now: within a block, only that block's continuation may. */
  boolean allows(Frame frame) {
    return stream == 0 || (frame.type() == Frame.CONTINUATION && frame.stream() == stream);
  }

  /**
   * Takes a HEADERS frame, which begins a block.
   *
   * @return the list, or null while the block is not complete
   * @throws Http2ConnectionError if it is too long or can't be decoded
   */
  HeaderList begin(Frame frame) {
    int from = frame.from();
    int to = frame.to();
    stream = frame.stream();
    last = frame.has(Frame.END_STREAM);
    continuations = 0;
    block = new byte[0];
    return append(frame, from, to - from);
  }

  /**
   * Takes a CONTINUATION frame.
   *
   * @return the list, or null while the block is not complete
   * @throws Http2ConnectionError if no block was begun, it is too long or can't be decoded
   */
  HeaderList continueBlock(Frame frame) {
    FrameChecks.require(stream != 0, "a continuation of nothing");
    if (++continuations > MAX_CONTINUATIONS) {
      throw new Http2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "endless continuations");
    }
    return append(frame, 0, frame.payload().length);
  }

  private HeaderList append(Frame frame, int from, int length) {
    if (block.length + length > MAX_BLOCK_SIZE) {
      throw new Http2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "a header block too long");
    }
    byte[] joined = Arrays.copyOf(block, block.length + length);
    System.arraycopy(frame.payload(), from, joined, block.length, length);
    block = joined;
    if (!frame.has(Frame.END_HEADERS)) {
      return null;
    }
    HeaderList list = new HeaderList(stream, decode(), last);
    stream = 0;
    block = new byte[0];
    return list;
  }

  private List<Header> decode() {
    try {
      return decoder.decodeHeaders(ByteBuffer.wrap(block));
    } catch (HeaderListConstraintException e) {
      // The library stops in the middle, so that the shared table can't be trusted any more.
      throw new Http2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "a header list too long");
    } catch (HPackException | RuntimeException e) {
      throw new Http2ConnectionError(ErrorCode.COMPRESSION_ERROR, "headers that can't be decoded");
    }
  }
}
