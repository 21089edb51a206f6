package tillerlink.net.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A queue of received bytes that have not been consumed yet. It may keep a reference to an appended
 * array instead of copying it, so callers must not modify the array afterwards. Callers bound the
 * size of the queue.
 */
final class ByteAccumulator {
  private byte[] buffer = new byte[0];
  private int head;
  private int tail;

  void append(byte[] more) {
    if (head == tail) {
      buffer = more;
      head = 0;
      tail = more.length;
      return;
    }
    if (buffer.length - tail < more.length) {
      // The capacity is at least doubled, so that a message that arrives byte by byte is not copied
      // once per byte.
      byte[] larger = new byte[Math.max(2 * size(), size() + more.length)];
      System.arraycopy(buffer, head, larger, 0, size());
      tail = size();
      head = 0;
      buffer = larger;
    }
    System.arraycopy(more, 0, buffer, tail, more.length);
    tail += more.length;
  }

  /** Returns a new array with the contents of all parts in order. */
  static byte[] concat(byte[]... parts) {
    byte[] result = new byte[Arrays.stream(parts).mapToInt(part -> part.length).sum()];
    int offset = 0;
    for (byte[] part : parts) {
      System.arraycopy(part, 0, result, offset, part.length);
      offset += part.length;
    }
    return result;
  }

  int size() {
    return tail - head;
  }

  /** Returns the number of bytes of memory that the queue takes. */
  int capacity() {
    return buffer.length;
  }

  byte at(int index) {
    return buffer[head + index];
  }

  /**
   * Returns the index of the first occurrence of a byte.
   *
   * @param start the index at which the search starts
   * @return the index, or -1 if the byte does not occur at or after {@code start}
   */
  int indexOf(byte wanted, int start) {
    for (int i = head + start; i < tail; i++) {
      if (buffer[i] == wanted) {
        return i - head;
      }
    }
    return -1;
  }

  /** Consumes the first {@code count} bytes and returns them. */
  byte[] consume(int count) {
    byte[] consumed = Arrays.copyOfRange(buffer, head, head + count);
    skip(count);
    return consumed;
  }

  /** Returns the first {@code count} bytes as ISO 8859-1 text, without consuming them. */
  String peekText(int count) {
    return new String(buffer, head, count, StandardCharsets.ISO_8859_1);
  }

  /** Consumes the first {@code count} bytes without returning them. */
  void skip(int count) {
    head += count;
    if (head == tail) {
      clear();
    }
  }

  /** Drops all bytes and the memory that they take. */
  void clear() {
    buffer = new byte[0];
    head = 0;
    tail = 0;
  }
}
