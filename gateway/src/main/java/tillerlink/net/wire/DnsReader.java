package tillerlink.net.wire;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Sequential reader of the values of one DNS message. Every method that reads a value throws {@link
 * IndexOutOfBoundsException} if the message ends within the value.
 */
final class DnsReader {
  private static final int MAX_POINTERS = 64;
  private static final int MAX_NAME_LENGTH = 255;
  private static final int MAX_LABEL_LENGTH = 63;

  /** The two high bits that mark a length as a compression pointer (RFC 1035, section 4.1.4). */
  private static final int POINTER = 0xc0;

  private static final int POINTER_MASK = 0x3fff;

  private final byte[] message;
  private int position;

  DnsReader(byte[] message, int position) {
    this.message = message;
    this.position = position;
  }

  int position() {
    return position;
  }

  boolean atEnd() {
    return position >= message.length;
  }

  /** Moves to a position, which may be beyond the end of the message. */
  void moveTo(int newPosition) {
    position = newPosition;
  }

  void skip(int count) {
    position += count;
  }

  /** Returns the unsigned integer of 16 bits at an offset, without moving. */
  int unsignedShortAt(int offset) {
    return ((message[offset] & 255) << 8) | (message[offset + 1] & 255);
  }

  /** Reads an unsigned integer of 16 bits. */
  int readUnsignedShort() {
    int value = unsignedShortAt(position);
    position += 2;
    return value;
  }

  /** Reads an unsigned integer of 32 bits. */
  long readUnsignedInt() {
    return (long) readUnsignedShort() << 16 | readUnsignedShort();
  }

  /** Reads an IPv4 address and returns it in dotted decimal notation. */
  String readAddress() {
    String address =
        (message[position] & 255)
            + "."
            + (message[position + 1] & 255)
            + "."
            + (message[position + 2] & 255)
            + "."
            + (message[position + 3] & 255);
    position += 4;
    return address;
  }

  /**
   * Reads the {@code name=value} strings of a TXT record. Strings of any other form are ignored.
   *
   * @param end the position at which the record ends
   * @return the values by name
   */
  Map<String, String> readAttributes(int end) {
    Map<String, String> values = new HashMap<>();
    while (position < end) {
      int length = message[position] & 255;
      String text =
          new String(
              message, position + 1, Math.min(length, end - position - 1), StandardCharsets.UTF_8);
      int separator = text.indexOf('=');
      if (separator > 0) {
        values.put(text.substring(0, separator), text.substring(separator + 1));
      }
      position += 1 + length;
    }
    return values;
  }

  /**
   * Reads a domain name, which may be compressed.
   *
   * @return the labels, joined by dots
   * @throws MalformedProtocolException if the name is too long, has too many pointers or has a
   *     label of an unknown type
   */
  String readName() {
    StringBuilder name = new StringBuilder();
    int from = position;
    boolean jumped = false;
    for (int pointers = 0; pointers <= MAX_POINTERS; ) {
      int length = message[from] & 255;
      if (length >= POINTER) {
        if (!jumped) {
          position = from + 2;
          jumped = true;
        }
        from = unsignedShortAt(from) & POINTER_MASK;
        pointers++;
      } else if (length > MAX_LABEL_LENGTH) {
        throw new MalformedProtocolException("unknown label type in length byte " + length);
      } else if (length == 0) {
        if (!jumped) {
          position = from + 1;
        }
        return name.toString();
      } else {
        appendLabel(name, from + 1, length);
        from += 1 + length;
      }
    }
    throw new MalformedProtocolException("name has more than " + MAX_POINTERS + " pointers");
  }

  private void appendLabel(StringBuilder name, int from, int length) {
    if (name.length() > 0) {
      name.append('.');
    }
    name.append(new String(message, from, length, StandardCharsets.US_ASCII));
    if (name.length() > MAX_NAME_LENGTH) {
      throw new MalformedProtocolException("name exceeds " + MAX_NAME_LENGTH + " characters");
    }
  }
}
