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
 * Reader of the lines of several shards as one stream. An overlong line is truncated, so that the
 * memory for a line is bounded. If reading a shard fails, its current line gets a skip reason and
 * reading continues with the next shard.
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

  /** The current line, without its line end. */
  private final byte[] line = new byte[MAX_LINE_BYTES];

  private int length;
  private SkipReason skipReason;
  private boolean first;
  private boolean nonAscii;

  LineReader(List<Shard> shards) {
    this.shards = shards;
  }

  /** Returns the bytes of the current line, which are valid up to {@link #length}. */
  byte[] line() {
    return line;
  }

  /** Returns the length of the current line in bytes. */
  int length() {
    return length;
  }

  /** Returns why the current line must be skipped, or null if it is valid. */
  SkipReason skipReason() {
    return skipReason;
  }

  /** Returns whether the current line is the first of its shard. */
  boolean isFirst() {
    return first;
  }

  /** Returns the name of the shard of the current line. */
  String shardName() {
    return shards.get(shard).name();
  }

  /** Returns the number of the current line in its shard, counted from 1. */
  long number() {
    return number;
  }

  /**
   * Advances to the next line.
   *
   * @return false if there is no further line
   * @throws IOException if a shard cannot be opened or closed
   */
  boolean next() throws IOException {
    while (true) {
      if (in == null) {
        if (shard + 1 >= shards.size()) {
          return false;
        }
        open();
      }
      if (readLine()) {
        return true;
      }
      close();
    }
  }

  /** Opens the next shard. */
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

  /**
   * Reads one line.
   *
   * @return false at the end of the shard
   */
  private boolean readLine() {
    length = 0;
    skipReason = null;
    first = number == 0;
    nonAscii = false;
    boolean anyBytes = false;
    boolean ended = false;
    while (!ended) {
      if (bufferFrom == bufferTo && fill() < 0) {
        if (!anyBytes && skipReason == null) {
          return false;
        }
        break;
      }
      anyBytes = true;
      int end = scanToLineEnd();
      appendToLine(end);
      ended = end < bufferTo;
      bufferFrom = ended ? end + 1 : end;
    }
    number++;
    finishLine();
    return true;
  }

  /**
   * Returns the index at which the line or the buffer ends. Records whether there are bytes outside
   * ASCII, so that only such lines are decoded to check them.
   */
  private int scanToLineEnd() {
    int end = bufferFrom;
    while (end < bufferTo && buffer[end] != '\n') {
      byte value = buffer[end++];
      if (value <= 0) {
        nonAscii |= value < 0;
        skipReason = value == 0 && skipReason == null ? SkipReason.NUL : skipReason;
      }
    }
    return end;
  }

  /** Appends the buffered bytes up to an index to the line, as far as they fit. */
  private void appendToLine(int end) {
    int count = end - bufferFrom;
    if (length + count > MAX_LINE_BYTES) {
      skipReason = SkipReason.LINE_TOO_LONG;
      count = MAX_LINE_BYTES - length;
    }
    System.arraycopy(buffer, bufferFrom, line, length, count);
    length += count;
  }

  /** Removes a carriage return and a byte order mark, and checks the encoding of the line. */
  private void finishLine() {
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
    if (nonAscii && skipReason == null) {
      try {
        StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(line, 0, length));
      } catch (CharacterCodingException e) {
        skipReason = SkipReason.BROKEN_UTF8;
      }
    }
  }

  /**
   * Fills the buffer. The last line of a truncated shard gets a skip reason, so that a partial line
   * is not used as a row.
   *
   * @return the number of bytes read, or -1 at the end of the shard
   */
  private int fill() {
    if (skipReason == SkipReason.CUT_OFF) {
      return -1;
    }
    try {
      int count = in.read(buffer);
      if (count > 0) {
        bytesRead += count;
        bufferFrom = 0;
        bufferTo = count;
      } else if (bytesExpected > bytesRead) {
        skipReason = SkipReason.CUT_OFF;
        bytesExpected = Shard.UNKNOWN;
      }
      return count;
    } catch (IOException e) {
      skipReason = SkipReason.CUT_OFF;
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
