package tillerlink.net.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Bytes that were fed and not yet taken. */
final class ByteAccumulator {
  private byte[] kept = new byte[0];
  private int from;
  private int to;

  void feed(byte[] more) {
    if (from == to) {
      kept = more;
      from = 0;
      to = more.length;
      return;
    }
    if (kept.length - to < more.length) {
      // Room for as much again: a message that comes byte by byte must not be copied as often.
      byte[] roomy = new byte[Math.max(2 * size(), size() + more.length)];
      System.arraycopy(kept, from, roomy, 0, size());
      to = size();
      from = 0;
      kept = roomy;
    }
    System.arraycopy(more, 0, kept, to, more.length);
    to += more.length;
  }

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

  byte at(int place) {
    return kept[from + place];
  }

  /** Where a byte stands at or after a place, or -1. */
  int find(byte wanted, int place) {
    for (int i = from + place; i < to; i++) {
      if (kept[i] == wanted) {
        return i - from;
      }
    }
    return -1;
  }

  byte[] take(int count) {
    byte[] taken = Arrays.copyOfRange(kept, from, from + count);
    skip(count);
    return taken;
  }

  String text(int count) {
    return new String(kept, from, count, StandardCharsets.ISO_8859_1);
  }

  void skip(int count) {
    from += count;
    if (from == to) {
      kept = new byte[0];
      from = 0;
      to = 0;
    }
  }
}
