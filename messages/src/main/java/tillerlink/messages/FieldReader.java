package tillerlink.messages;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Reads what {@link FieldWriter} wrote, also by a later release: call {@link #next} until it is
 * false, and read the value of each known field once; fields that are not read are skipped. Reading
 * a field as another type than it has is an error.
 */
public final class FieldReader {
  private static final int MAX_DEPTH = 8;

  private final CodedInputStream in;
  private final int depth;
  private int tag;
  private boolean wasRead = true;

  /** Makes a reader of a message's fields. */
  public FieldReader(byte[] bytes) {
    this(bytes, 0);
  }

  private FieldReader(byte[] bytes, int depth) {
    in = CodedInputStream.newInstance(bytes);
    this.depth = depth;
  }

  /**
   * Goes to the next field.
   *
   * @return false at the end of the message
   * @throws MalformedMessageException if the bytes are truncated, or no message
   */
  public boolean next() throws MalformedMessageException {
    try {
      if (!wasRead) {
        in.skipField(tag);
      }
      tag = in.readTag();
      wasRead = false;
      return tag != 0;
    } catch (IOException e) {
      throw new MalformedMessageException("cut off, or no message");
    }
  }

  /** Returns the number of the current field. */
  public int field() {
    return WireFormat.getTagFieldNumber(tag);
  }

  private void checkType(int type) throws MalformedMessageException {
    if (wasRead || WireFormat.getTagWireType(tag) != type) {
      throw new MalformedMessageException("field " + field() + " is of another type");
    }
    wasRead = true;
  }

  private interface ValueReader<T> {
    T read() throws IOException;
  }

  private <T> T read(int type, ValueReader<T> reader) throws MalformedMessageException {
    checkType(type);
    try {
      return reader.read();
    } catch (IOException e) {
      throw new MalformedMessageException("field " + field() + " is cut off");
    }
  }

  /**
   * Reads a number that is not negative.
   *
   * @throws MalformedMessageException if it is below zero or beyond {@code max}
   */
  public long number(long max) throws MalformedMessageException {
    long value = read(WireFormat.WIRETYPE_VARINT, in::readUInt64);
    if (value < 0 || value > max) {
      throw new MalformedMessageException("field " + field() + " is out of its bounds");
    }
    return value;
  }

  /**
   * Reads a number that is not negative.
   *
   * @throws MalformedMessageException if it is below zero
   */
  public long number() throws MalformedMessageException {
    return number(Long.MAX_VALUE);
  }

  /**
   * Reads a number that may be negative.
   *
   * @throws MalformedMessageException if the field is no number
   */
  public long signed() throws MalformedMessageException {
    return read(WireFormat.WIRETYPE_VARINT, in::readSInt64);
  }

  /**
   * Reads a number of eight bytes.
   *
   * @throws MalformedMessageException if the field is no such number
   */
  public long fixed() throws MalformedMessageException {
    return read(WireFormat.WIRETYPE_FIXED64, in::readFixed64);
  }

  /**
   * Reads a flag.
   *
   * @throws MalformedMessageException if the field is no number
   */
  public boolean flag() throws MalformedMessageException {
    return read(WireFormat.WIRETYPE_VARINT, in::readBool);
  }

  /**
   * Reads bytes.
   *
   * @throws MalformedMessageException if there are more than {@code max}
   */
  public byte[] bytes(int max) throws MalformedMessageException {
    byte[] value = read(WireFormat.WIRETYPE_LENGTH_DELIMITED, in::readByteArray);
    if (value.length > max) {
      throw new MalformedMessageException("field " + field() + " is too long");
    }
    return value;
  }

  /**
   * Reads a text.
   *
   * @param maxBytes bytes of UTF-8 at the most
   * @throws MalformedMessageException if it is longer, or not UTF-8
   */
  public String text(int maxBytes) throws MalformedMessageException {
    try {
      return StandardCharsets.UTF_8
          .newDecoder()
          .decode(ByteBuffer.wrap(bytes(maxBytes)))
          .toString();
    } catch (CharacterCodingException e) {
      throw new MalformedMessageException("field " + field() + " is not UTF-8");
    }
  }

  /**
   * Returns a reader of the message within this field.
   *
   * @throws MalformedMessageException if messages are nested too deep
   */
  public FieldReader within() throws MalformedMessageException {
    if (depth >= MAX_DEPTH) {
      throw new MalformedMessageException("too deep");
    }
    return new FieldReader(bytes(Integer.MAX_VALUE), depth + 1);
  }
}
