package tillerlink.trace;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The lines of several shards as one stream. However long a line is, only so much of it is kept;
 * what of a shard can't be read is told as the fault of one line, and the next shard goes on.
 */
final class Lines implements Closeable {
  static final int LINE_MOST = 16_384;
  private static final int BUFFER = 65_536;
  private static final byte[] MARK = {(byte) 0xef, (byte) 0xbb, (byte) 0xbf};

  private final List<Shard> shards;
  private final byte[] buffer = new byte[BUFFER];
  private int from;
  private int to;
  private int shard = -1;
  private InputStream in;
  private long bytesWanted;
  private long bytesRead;
  private long number;

  /** The present line, without its end. */
  byte[] line = new byte[LINE_MOST];

  int length;

  /** What is wrong with it, or null. */
  Skip fault;

  /** It is the first of its shard. */
  boolean first;

  Lines(List<Shard> shards) {
    this.shards = shards;
  }

  String shardName() {
    return shards.get(shard).name();
  }

  long number() {
    return number;
  }

  /** Goes to the next line, or tells that there is none. */
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
    bytesWanted = opened.bytes();
    bytesRead = 0;
    from = 0;
    to = 0;
    number = 0;
  }

  /** Reads one line; false at the end of the shard. */
  private boolean read() {
    length = 0;
    fault = null;
    first = number == 0;
    boolean any = false;
    boolean high = false;
    boolean ended = false;
    while (!ended) {
      if (from == to) {
        int got = fill();
        if (got < 0) {
          if (!any && fault == null) {
            return false;
          }
          break;
        }
      }
      any = true;
      int end = from;
      while (end < to && buffer[end] != '\n') {
        byte b = buffer[end++];
        if (b <= 0) {
          high |= b < 0;
          fault = b == 0 && fault == null ? Skip.NUL : fault;
        }
      }
      keep(end);
      ended = end < to;
      from = ended ? end + 1 : end;
    }
    number++;
    finish(high);
    return true;
  }

  private void keep(int end) {
    int more = end - from;
    if (length + more > LINE_MOST) {
      fault = Skip.LINE_TOO_LONG;
      more = LINE_MOST - length;
    }
    System.arraycopy(buffer, from, line, length, more);
    length += more;
  }

  private void finish(boolean high) {
    if (length > 0 && line[length - 1] == '\r') {
      length--;
    }
    if (first
        && length >= MARK.length
        && line[0] == MARK[0]
        && line[1] == MARK[1]
        && line[2] == MARK[2]) {
      length -= MARK.length;
      System.arraycopy(line, MARK.length, line, 0, length);
    }
    if (high && fault == null) {
      try {
        StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(line, 0, length));
      } catch (CharacterCodingException e) {
        fault = Skip.BROKEN_UTF8;
      }
    }
  }

  /** Guards against a shard that breaks off: what of its last line came is not taken for a row. */
  private int fill() {
    if (fault == Skip.CUT_OFF) {
      return -1;
    }
    try {
      int got = in.read(buffer);
      if (got > 0) {
        bytesRead += got;
        from = 0;
        to = got;
      } else if (bytesWanted > bytesRead) {
        fault = Skip.CUT_OFF;
        bytesWanted = Shard.UNKNOWN;
      }
      return got;
    } catch (IOException e) {
      fault = Skip.CUT_OFF;
      bytesWanted = Shard.UNKNOWN;
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
