package tillerlink.net.http2;

import java.util.Arrays;

/**
 * Splits received bytes into frames, without I/O. It buffers the bytes that were not yet returned
 * as frames. A frame longer than {@link Frame#FRAME_AT_START} is an error as soon as its header was
 * received, so that an oversized payload is never buffered whole.
 */
public final class FrameReader {
  private static final int HEADER_SIZE = 9;
  private static final int INITIAL_CAPACITY = 1024;

  private final byte[] preface;
  private int prefaceBytesRead;
  private byte[] buffer = new byte[INITIAL_CAPACITY];
  private int readIndex;
  private int writeIndex;

  /**
   * Creates a reader at the start of a connection.
   *
   * @param preface the bytes required before the first frame; empty if none are required
   */
  public FrameReader(byte[] preface) {
    this.preface = preface;
  }

  /** Buffers received bytes, which may end anywhere in a frame. */
  public void feed(byte[] bytes) {
    if (writeIndex + bytes.length > buffer.length) {
      int size = writeIndex - readIndex;
      byte[] enlarged =
          size + bytes.length <= buffer.length
              ? buffer
              : new byte[Math.max(2 * size, size + bytes.length)];
      System.arraycopy(buffer, readIndex, enlarged, 0, size);
      buffer = enlarged;
      readIndex = 0;
      writeIndex = size;
    }
    System.arraycopy(bytes, 0, buffer, writeIndex, bytes.length);
    writeIndex += bytes.length;
  }

  /** Returns true if bytes are buffered that were not yet returned as a frame. */
  public boolean midway() {
    return writeIndex > readIndex;
  }

  /**
   * Returns the next frame.
   *
   * @return null while the frame is incomplete
   * @throws Http2ConnectionError if the frame is too long or the preface differs from the required
   *     one
   */
  public Frame next() {
    skipPreface();
    if (writeIndex - readIndex < HEADER_SIZE || prefaceBytesRead < preface.length) {
      return null;
    }
    int length =
        ((buffer[readIndex] & 255) << 16)
            | ((buffer[readIndex + 1] & 255) << 8)
            | (buffer[readIndex + 2] & 255);
    if (length > Frame.FRAME_AT_START) {
      throw new Http2ConnectionError(
          ErrorCode.FRAME_SIZE_ERROR,
          "frame payload of " + length + " bytes exceeds " + Frame.FRAME_AT_START);
    }
    if (writeIndex - readIndex < HEADER_SIZE + length) {
      return null;
    }
    int streamId =
        ((buffer[readIndex + 5] & 127) << 24)
            | ((buffer[readIndex + 6] & 255) << 16)
            | ((buffer[readIndex + 7] & 255) << 8)
            | (buffer[readIndex + 8] & 255);
    Frame frame =
        new Frame(
            buffer[readIndex + 3] & 255,
            buffer[readIndex + 4] & 255,
            streamId,
            Arrays.copyOfRange(buffer, readIndex + HEADER_SIZE, readIndex + HEADER_SIZE + length));
    readIndex += HEADER_SIZE + length;
    if (readIndex == writeIndex) {
      readIndex = 0;
      writeIndex = 0;
    }
    return frame;
  }

  private void skipPreface() {
    while (prefaceBytesRead < preface.length && readIndex < writeIndex) {
      if (buffer[readIndex++] != preface[prefaceBytesRead++]) {
        throw new Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "connection preface is invalid");
      }
    }
  }
}
