package tillerlink.trace;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * Reads the lines of several shards as one stream. Of an overlong line only the beginning is kept.
 * A shard that can't be read further is reported as the fault of one line, and the next shard
 * follows.
 */
final class LineReader implements Closeable {
  static final int MAX_LINE_BYTES = 16_384;
  private static final int BUFFER_BYTES = 65_536;
  private static final byte[] BYTE_ORDER_MARK = {(byte) 0xef, (byte) 0xbb, (byte) 0xbf};

  private final List<Shard> shards;
  private final byte[] buffer = new byte[BUFFER_BYTES];
  private int bufferFrom;
  private int bufferTo;
  private int shard = -1;
  private InputStream in;
  private long bytesExpected;
  private long bytesRead;
  private long number;

  /** The current line, without its end. */
  private final byte[] line = new byte[MAX_LINE_BYTES];

  private int length;
  private SkipReason fault;
  private boolean first;
  private boolean nonAscii;

  LineReader(List<Shard> shards) {
    this.shards = shards;
  }

  /** The bytes of the current line; valid up to {@link #length}. */
  byte[] line() {
    return line;
  }

  int length() {
    return length;
  }

  /** What is wrong with the current line, or null. */
  SkipReason fault() {
    return fault;
  }

  /** Whether the current line is the first of its shard. */
  boolean isFirst() {
    return first;
  }

  String shardName() {
    return shards.get(shard).name();
  }

  long number() {
    return number;
  }

  /** Advances to the next line; false if there is none. */
  boolean next() throws IOException {
    while (true) {
      if (in == null) {
        if (shard + 1 >= shards.size()) {
          return false;
        }
        open();
      }
      if (read()) {
        return true;
      }
      close();
    }
  }

  private void open() throws IOException {
    shard++;
    Shard.Opened opened = shards.get(shard).open();
    in = opened.in();
    bytesExpected = opened.bytes();
    bytesRead = 0;
    bufferFrom = 0;
    bufferTo = 0;
    number = 0;
  }

  /** Reads one line; false at the end of the shard. */
  private boolean read() {
    length = 0;
    fault = null;
    first = number == 0;
    nonAscii = false;
    boolean any = false;
    boolean ended = false;
    while (!ended) {
      if (bufferFrom == bufferTo && fill() < 0) {
        if (!any && fault == null) {
          return false;
        }
        break;
      }
      any = true;
      int end = scanToLineEnd();
      keep(end);
      ended = end < bufferTo;
      bufferFrom = ended ? end + 1 : end;
    }
    number++;
    finish();
    return true;
  }

  /** Returns where the line or the buffer ends, and notes the bytes that are not plain ASCII. */
  private int scanToLineEnd() {
    int end = bufferFrom;
    while (end < bufferTo && buffer[end] != '\n') {
      byte value = buffer[end++];
      if (value <= 0) {
        nonAscii |= value < 0;
        fault = value == 0 && fault == null ? SkipReason.NUL : fault;
      }
    }
    return end;
  }

  private void keep(int end) {
    int count = end - bufferFrom;
    if (length + count > MAX_LINE_BYTES) {
      fault = SkipReason.LINE_TOO_LONG;
      count = MAX_LINE_BYTES - length;
    }
    System.arraycopy(buffer, bufferFrom, line, length, count);
    length += count;
  }

  private void finish() {
    if (length > 0 && line[length - 1] == '\r') {
      length--;
    }
    int markLength = BYTE_ORDER_MARK.length;
    if (first
        && length >= markLength
        && Arrays.equals(line, 0, markLength, BYTE_ORDER_MARK, 0, markLength)) {
      length -= BYTE_ORDER_MARK.length;
      System.arraycopy(line, BYTE_ORDER_MARK.length, line, 0, length);
    }
    if (nonAscii && fault == null) {
      try {
        StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(line, 0, length));
      } catch (CharacterCodingException e) {
        fault = SkipReason.BROKEN_UTF8;
      }
    }
  }

  /** Fills the buffer. The last line of a truncated shard gets a fault, so that it is no row. */
  private int fill() {
    if (fault == SkipReason.CUT_OFF) {
      return -1;
    }
    try {
      int got = in.read(buffer);
      if (got > 0) {
        bytesRead += got;
        bufferFrom = 0;
        bufferTo = got;
      } else if (bytesExpected > bytesRead) {
        fault = SkipReason.CUT_OFF;
        bytesExpected = Shard.UNKNOWN;
      }
      return got;
    } catch (IOException e) {
      fault = SkipReason.CUT_OFF;
      bytesExpected = Shard.UNKNOWN;
      in = InputStream.nullInputStream();
      return -1;
    }
  }

  @Override
  public void close() throws IOException {
    if (in != null) {
      in.close();
      in = null;
    }
  }
}
