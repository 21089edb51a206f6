package tillerlink.messages;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Reads the fields of a message that a {@link FieldWriter} of this or a later release wrote.
 * Callers call {@link #next} until it returns false and read the value of each known field once;
 * fields that are not read are skipped. Reading a value twice, or with another wire type than it
 * was written with, is an error.
 */
public final class FieldReader {
  private static final int MAX_DEPTH = 8;

  private final CodedInputStream in;
  private final int depth;
  private int tag;
  private boolean valueRead = true;

  /** Creates a reader of the fields of one message. */
  public FieldReader(byte[] bytes) {
    this(bytes, 0);
  }

  private FieldReader(byte[] bytes, int depth) {
    in = CodedInputStream.newInstance(bytes);
    this.depth = depth;
  }

  /**
   * Advances to the next field and skips the current one if its value was not read.
   *
   * @return true if there is a field, false at the end of the message
   * @throws MalformedMessageException if the bytes are truncated or not in protobuf's wire format
   */
  public boolean next() throws MalformedMessageException {
    try {
      if (!valueRead) {
        in.skipField(tag);
      }
      tag = in.readTag();
      valueRead = false;
      return tag != 0;
    } catch (IOException e) {
      throw new MalformedMessageException(
          "message is truncated or malformed; last field number read: " + field());
    }
  }

  /** Returns the number of the current field. */
  public int field() {
    return WireFormat.getTagFieldNumber(tag);
  }

  private void checkType(int type) throws MalformedMessageException {
    if (valueRead || WireFormat.getTagWireType(tag) != type) {
      throw new MalformedMessageException(
          "field "
              + field()
              + " has wire type "
              + WireFormat.getTagWireType(tag)
              + ", expected an unread value of wire type "
              + type);
    }
    valueRead = true;
  }

  private interface ValueReader<T> {
    T read() throws IOException;
  }

  private <T> T read(int type, ValueReader<T> reader) throws MalformedMessageException {
    checkType(type);
    try {
      return reader.read();
    } catch (IOException e) {
      throw new MalformedMessageException(
          "value of field " + field() + " is truncated or malformed");
    }
  }

  /**
   * Reads a non-negative integer.
   *
   * @param max the highest value accepted, inclusive
   * @throws MalformedMessageException if the value is negative or exceeds {@code max}, or if the
   *     field is not a varint
   */
  public long number(long max) throws MalformedMessageException {
    long value = read(WireFormat.WIRETYPE_VARINT, in::readUInt64);
    if (value < 0 || value > max) {
      throw new MalformedMessageException(
          "field " + field() + " is " + value + ", expected 0 to " + max);
    }
    return value;
  }

  /**
   * Reads a non-negative integer without an upper limit.
   *
   * @throws MalformedMessageException if the value is negative or the field is not a varint
   */
  public long number() throws MalformedMessageException {
    return number(Long.MAX_VALUE);
  }

  /**
   * Reads a signed integer in zigzag encoding.
   *
   * @throws MalformedMessageException if the field is not a varint
   */
  public long signed() throws MalformedMessageException {
    return read(WireFormat.WIRETYPE_VARINT, in::readSInt64);
  }

  /**
   * Reads a fixed-width integer of eight bytes.
   *
   * @throws MalformedMessageException if the field is not a fixed-width integer of eight bytes
   */
  public long fixed() throws MalformedMessageException {
    return read(WireFormat.WIRETYPE_FIXED64, in::readFixed64);
  }

  /**
   * Reads a boolean.
   *
   * @throws MalformedMessageException if the field is not a varint
   */
  public boolean flag() throws MalformedMessageException {
    return read(WireFormat.WIRETYPE_VARINT, in::readBool);
  }

  /**
   * Reads a byte array.
   *
   * @param max the maximum length in bytes
   * @throws MalformedMessageException if the value is longer than {@code max} or the field is not
   *     length-delimited
   */
  public byte[] bytes(int max) throws MalformedMessageException {
    byte[] value = read(WireFormat.WIRETYPE_LENGTH_DELIMITED, in::readByteArray);
    if (value.length > max) {
      throw new MalformedMessageException(
          "length " + value.length + " of field " + field() + " exceeds " + max + " bytes");
    }
    return value;
  }

  /**
   * Reads a UTF-8 string.
   *
   * @param maxBytes the maximum length of the encoded string, in bytes
   * @throws MalformedMessageException if the value is longer than {@code maxBytes} or not valid
   *     UTF-8
   */
  public String text(int maxBytes) throws MalformedMessageException {
    try {
      return StandardCharsets.UTF_8
          .newDecoder()
          .decode(ByteBuffer.wrap(bytes(maxBytes)))
          .toString();
    } catch (CharacterCodingException e) {
      throw new MalformedMessageException("field " + field() + " is not valid UTF-8");
    }
  }

  /**
   * Returns a reader of the message nested in the current field.
   *
   * @throws MalformedMessageException if messages are nested more than eight levels deep
   */
  public FieldReader within() throws MalformedMessageException {
    if (depth >= MAX_DEPTH) {
      throw new MalformedMessageException(
          "nesting of field " + field() + " exceeds " + MAX_DEPTH + " levels");
    }
    return new FieldReader(bytes(Integer.MAX_VALUE), depth + 1);
  }
}
