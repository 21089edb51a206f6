package tillerlink.messages;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Writes numbered fields in protobuf's wire format. Zeros, false flags and empty values are left
 * out, and are read as such. A number, once given to a field, is never given to another: so earlier
 * releases can read what later ones write.
 */
public final class FieldWriter {
  private static final int BUFFER_BYTES = 256;

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final CodedOutputStream out = CodedOutputStream.newInstance(bytes, BUFFER_BYTES);

  /** Writes a number that is not negative. */
  public FieldWriter number(int field, long value) {
    return value == 0 ? this : write(() -> out.writeUInt64(field, value));
  }

  /** Writes a number that may be negative. */
  public FieldWriter signed(int field, long value) {
    return value == 0 ? this : write(() -> out.writeSInt64(field, value));
  }

  /** Writes a number in eight bytes, as for hashes and stamps, which are seldom small. */
  public FieldWriter fixed(int field, long value) {
    return value == 0 ? this : write(() -> out.writeFixed64(field, value));
  }

  /** Writes a flag. */
  public FieldWriter flag(int field, boolean value) {
    return value ? write(() -> out.writeBool(field, true)) : this;
  }

  /** Writes a text as UTF-8. */
  public FieldWriter text(int field, String value) {
    return value.isEmpty() ? this : write(() -> out.writeString(field, value));
  }

  /** Writes bytes. */
  public FieldWriter bytes(int field, byte[] value) {
    return value.length == 0 ? this : write(() -> out.writeByteArray(field, value));
  }

  /** Writes a message within this one; also an empty one, so that lists keep their length. */
  public FieldWriter within(int field, FieldWriter message) {
    byte[] body = message.done();
    return write(() -> out.writeByteArray(field, body));
  }

  /** Returns the bytes of all fields that were written. */
  public byte[] done() {
    write(out::flush);
    return bytes.toByteArray();
  }

  private interface ValueWriter {
    void write() throws IOException;
  }

  private FieldWriter write(ValueWriter writer) {
    try {
      writer.write();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return this;
  }
}
