package tillerlink.messages;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Reads what {@link FieldWriter} wrote, also by a later release: call {@link #next} until it is
 * false, and take what is known of each field; what is not taken is passed over. A field that is
 * asked for as what it is not is malformed.
 */
public final class FieldReader {
  private static final int DEEP_MOST = 8;

  private final CodedInputStream in;
  private final int depth;
  private int tag;
  private boolean taken = true;

  public FieldReader(byte[] bytes) {
    this(bytes, 0);
  }

  private FieldReader(byte[] bytes, int depth) {
    in = CodedInputStream.newInstance(bytes);
    this.depth = depth;
  }

  /** Goes to the next field; false at the end. */
  public boolean next() throws MalformedMessageException {
    try {
      if (!taken) {
        in.skipField(tag);
      }
      tag = in.readTag();
      taken = false;
      return tag != 0;
    } catch (IOException e) {
      throw new MalformedMessageException("cut off, or no message");
    }
  }

  public int field() {
    return WireFormat.getTagFieldNumber(tag);
  }

  private void take(int type) throws MalformedMessageException {
    if (taken || WireFormat.getTagWireType(tag) != type) {
      throw new MalformedMessageException("field " + field() + " is of another type");
    }
    taken = true;
  }

  private interface Step<T> {
    T run() throws IOException;
  }

  private <T> T read(int type, Step<T> step) throws MalformedMessageException {
    take(type);
    try {
      return step.run();
    } catch (IOException e) {
      throw new MalformedMessageException("field " + field() + " is cut off");
    }
  }

  /**
   * @param most a number beyond it, or below zero, is malformed
   */
  public long number(long most) throws MalformedMessageException {
    long value = read(WireFormat.WIRETYPE_VARINT, in::readUInt64);
    if (value < 0 || value > most) {
      throw new MalformedMessageException("field " + field() + " is out of its bounds");
    }
    return value;
  }

  public long number() throws MalformedMessageException {
    return number(Long.MAX_VALUE);
  }

  public long signed() throws MalformedMessageException {
    return read(WireFormat.WIRETYPE_VARINT, in::readSInt64);
  }

  public long fixed() throws MalformedMessageException {
    return read(WireFormat.WIRETYPE_FIXED64, in::readFixed64);
  }

  public boolean flag() throws MalformedMessageException {
    return read(WireFormat.WIRETYPE_VARINT, in::readBool);
  }

  /**
   * @param most bytes at the most
   */
  public byte[] bytes(int most) throws MalformedMessageException {
    byte[] value = read(WireFormat.WIRETYPE_LENGTH_DELIMITED, in::readByteArray);
    if (value.length > most) {
      throw new MalformedMessageException("field " + field() + " is too long");
    }
    return value;
  }

  /**
   * @param most bytes at the most; what is not UTF-8 is malformed
   */
  public String text(int most) throws MalformedMessageException {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes(most))).toString();
    } catch (CharacterCodingException e) {
      throw new MalformedMessageException("field " + field() + " is not UTF-8");
    }
  }

  /** A message within. */
  public FieldReader within() throws MalformedMessageException {
    if (depth >= DEEP_MOST) {
      throw new MalformedMessageException("too deep");
    }
    return new FieldReader(bytes(Integer.MAX_VALUE), depth + 1);
  }
}
