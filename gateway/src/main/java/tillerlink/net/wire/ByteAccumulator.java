package tillerlink.net.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A queue of received bytes that were not yet consumed. It may hold on to a fed array instead of
 * copying it. Callers bound its size.
 */
final class ByteAccumulator {
  private byte[] buffer = new byte[0];
  private int from;
  private int to;

  void feed(byte[] more) {
    if (from == to) {
      buffer = more;
      from = 0;
      to = more.length;
      return;
    }
    if (buffer.length - to < more.length) {
      // At least doubled: a message that comes byte by byte must not be copied as often.
      byte[] larger = new byte[Math.max(2 * size(), size() + more.length)];
      System.arraycopy(buffer, from, larger, 0, size());
      to = size();
      from = 0;
      buffer = larger;
    }
    System.arraycopy(more, 0, buffer, to, more.length);
    to += more.length;
  }

  /** The arrays, one behind the other. */
  static byte[] joined(byte[]... parts) {
    byte[] whole = new byte[Arrays.stream(parts).mapToInt(part -> part.length).sum()];
    int at = 0;
    for (byte[] part : parts) {
      System.arraycopy(part, 0, whole, at, part.length);
      at += part.length;
    }
    return whole;
  }

  int size() {
    return to - from;
  }

  byte at(int index) {
    return buffer[from + index];
  }

  /** The index of the first occurrence of a byte at or after an index, or -1. */
  int find(byte wanted, int start) {
    for (int i = from + start; i < to; i++) {
      if (buffer[i] == wanted) {
        return i - from;
      }
    }
    return -1;
  }

  /** Consumes bytes. */
  byte[] take(int count) {
    byte[] taken = Arrays.copyOfRange(buffer, from, from + count);
    skip(count);
    return taken;
  }

  /** The first bytes as text, each byte one character; they are not consumed. */
  String text(int count) {
    return new String(buffer, from, count, StandardCharsets.ISO_8859_1);
  }

  /** Consumes bytes without returning them. */
  void skip(int count) {
    from += count;
    if (from == to) {
      buffer = new byte[0];
      from = 0;
      to = 0;
    }
  }
}
