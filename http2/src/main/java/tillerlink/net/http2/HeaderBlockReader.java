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
 * block must be decoded, even that of a closed stream, because all streams of the connection share
 * the compression table.
 */
final class HeaderBlockReader {
  /** The largest accepted size of a decoded header list, in bytes; declared to the peer. */
  static final int MAX_LIST_SIZE = 16_384;

  private static final int TABLE_SIZE = 4096;
  private static final int MAX_BLOCK_SIZE = 16_384;
  private static final int MAX_CONTINUATIONS = 8;

  /**
   * A decoded header list.
   *
   * @param endStream whether its HEADERS frame ended the stream
   */
  record HeaderList(int streamId, List<Header> headers, boolean endStream) {}

  private final HPackDecoder decoder = new HPackDecoder(TABLE_SIZE, StandardCharsets.US_ASCII);

  /** The id of the stream whose block is not yet complete, or 0. */
  private int streamId;

  private boolean endStream;
  private int continuations;
  private byte[] block = new byte[0];

  HeaderBlockReader() {
    decoder.setMaxListSize(MAX_LIST_SIZE);
  }

  /** Returns true if a frame is allowed now: an open block allows only its own CONTINUATION. */
  boolean allows(Frame frame) {
    return streamId == 0 || (frame.type() == Frame.CONTINUATION && frame.stream() == streamId);
  }

  /**
   * Processes a HEADERS frame, which begins a block.
   *
   * @return the header list, or null while the block is not complete
   * @throws Http2ConnectionError if the block is too long or cannot be decoded
   */
  HeaderList begin(Frame frame) {
    int from = frame.from();
    int to = frame.to();
    streamId = frame.stream();
    endStream = frame.has(Frame.END_STREAM);
    continuations = 0;
    block = new byte[0];
    return append(frame, from, to - from);
  }

  /**
   * Processes a CONTINUATION frame.
   *
   * @return the header list, or null while the block is not complete
   * @throws Http2ConnectionError if no block is open, or the block has too many frames, is too long
   *     or cannot be decoded
   */
  HeaderList continueBlock(Frame frame) {
    FrameChecks.require(streamId != 0, "CONTINUATION frame without a preceding HEADERS frame");
    if (++continuations > MAX_CONTINUATIONS) {
      throw new Http2ConnectionError(
          ErrorCode.ENHANCE_YOUR_CALM,
          "header block has more than " + MAX_CONTINUATIONS + " CONTINUATION frames");
    }
    return append(frame, 0, frame.payload().length);
  }

  private HeaderList append(Frame frame, int from, int length) {
    if (block.length + length > MAX_BLOCK_SIZE) {
      throw new Http2ConnectionError(
          ErrorCode.ENHANCE_YOUR_CALM, "header block exceeds " + MAX_BLOCK_SIZE + " bytes");
    }
    byte[] joined = Arrays.copyOf(block, block.length + length);
    System.arraycopy(frame.payload(), from, joined, block.length, length);
    block = joined;
    if (!frame.has(Frame.END_HEADERS)) {
      return null;
    }
    HeaderList list = new HeaderList(streamId, decode(), endStream);
    streamId = 0;
    block = new byte[0];
    return list;
  }

  private List<Header> decode() {
    try {
      return decoder.decodeHeaders(ByteBuffer.wrap(block));
    } catch (HeaderListConstraintException e) {
      // The library stops within the block. The shared compression table then differs from that of
      // the peer, so that the whole connection has to end.
      throw new Http2ConnectionError(
          ErrorCode.ENHANCE_YOUR_CALM, "header list exceeds " + MAX_LIST_SIZE + " bytes");
    } catch (HPackException | RuntimeException e) {
      throw new Http2ConnectionError(ErrorCode.COMPRESSION_ERROR, "header block cannot be decoded");
    }
  }
}
