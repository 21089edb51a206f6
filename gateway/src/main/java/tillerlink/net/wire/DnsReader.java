package tillerlink.net.wire;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Reads the values of one DNS message, in order. Every method throws IndexOutOfBoundsException if
 * the message ends before the value does.
 */
final class DnsReader {
  private static final int MAX_POINTERS = 64;
  private static final int MAX_NAME_LENGTH = 255;
  private static final int MAX_LABEL_LENGTH = 63;

  /** The two first bits of a length, if it is a pointer (RFC 1035, section 4.1.4). */
  private static final int POINTER = 0xc0;

  private static final int POINTER_MASK = 0x3fff;

  private final byte[] message;
  private int at;

  DnsReader(byte[] message, int at) {
    this.message = message;
    this.at = at;
  }

  int position() {
    return at;
  }

  boolean atEnd() {
    return at >= message.length;
  }

  /** Moves to a position, which may lie beyond the end. */
  void moveTo(int position) {
    at = position;
  }

  void skip(int count) {
    at += count;
  }

  int unsignedShortAt(int position) {
    return ((message[position] & 255) << 8) | (message[position + 1] & 255);
  }

  int unsignedShort() {
    int value = unsignedShortAt(at);
    at += 2;
    return value;
  }

  long unsignedInt() {
    return (long) unsignedShort() << 16 | unsignedShort();
  }

  /** An IPv4 address. */
  String address() {
    String address =
        (message[at] & 255)
            + "."
            + (message[at + 1] & 255)
            + "."
            + (message[at + 2] & 255)
            + "."
            + (message[at + 3] & 255);
    at += 4;
    return address;
  }

  /** The {@code name=value} strings of a TXT record that ends there; other strings are ignored. */
  Map<String, String> attributes(int end) {
    Map<String, String> values = new HashMap<>();
    while (at < end) {
      int length = message[at] & 255;
      String text =
          new String(message, at + 1, Math.min(length, end - at - 1), StandardCharsets.UTF_8);
      int sign = text.indexOf('=');
      if (sign > 0) {
        values.put(text.substring(0, sign), text.substring(sign + 1));
      }
      at += 1 + length;
    }
    return values;
  }

  /**
   * A domain name, which may be compressed.
   *
   * @throws MalformedProtocolException if it is too long or has too many pointers
   */
  String name() {
    StringBuilder name = new StringBuilder();
    int from = at;
    boolean jumped = false;
    for (int pointers = 0; pointers <= MAX_POINTERS; ) {
      int length = message[from] & 255;
      if (length >= POINTER) {
        if (!jumped) {
          at = from + 2;
          jumped = true;
        }
        from = unsignedShortAt(from) & POINTER_MASK;
        pointers++;
      } else if (length > MAX_LABEL_LENGTH) {
        throw new MalformedProtocolException("a label of an unknown kind");
      } else if (length == 0) {
        if (!jumped) {
          at = from + 1;
        }
        return name.toString();
      } else {
        appendLabel(name, from + 1, length);
        from += 1 + length;
      }
    }
    throw new MalformedProtocolException("a pointer loop");
  }

  private void appendLabel(StringBuilder name, int from, int length) {
    if (name.length() > 0) {
      name.append('.');
    }
    name.append(new String(message, from, length, StandardCharsets.US_ASCII));
    if (name.length() > MAX_NAME_LENGTH) {
      throw new MalformedProtocolException("a name too long");
    }
  }
}
