package tillerlink.messages;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Writes numbered fields in protobuf's wire format. Zeros, false booleans and empty values are
 * omitted, and readers use them as the defaults of missing fields. A field number is never reused
 * for another field, so that earlier releases can read what later ones write.
 */
public final class FieldWriter {
  private static final int BUFFER_BYTES = 256;

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final CodedOutputStream out = CodedOutputStream.newInstance(bytes, BUFFER_BYTES);

  /** Writes a non-negative integer as a varint. */
  public FieldWriter number(int field, long value) {
    return value == 0 ? this : write(() -> out.writeUInt64(field, value));
  }

  /** Writes a signed integer in zigzag encoding. */
  public FieldWriter signed(int field, long value) {
    return value == 0 ? this : write(() -> out.writeSInt64(field, value));
  }

  /**
   * Writes an integer in eight bytes, for values that are seldom small, such as hashes and stamps.
   */
  public FieldWriter fixed(int field, long value) {
    return value == 0 ? this : write(() -> out.writeFixed64(field, value));
  }

  /** Writes a boolean. */
  public FieldWriter flag(int field, boolean value) {
    return value ? write(() -> out.writeBool(field, true)) : this;
  }

  /** Writes a string as UTF-8. */
  public FieldWriter text(int field, String value) {
    return value.isEmpty() ? this : write(() -> out.writeString(field, value));
  }

  /** Writes a byte array. */
  public FieldWriter bytes(int field, byte[] value) {
    return value.length == 0 ? this : write(() -> out.writeByteArray(field, value));
  }

  /** Writes a nested message, even if it is empty, so that lists keep their length. */
  public FieldWriter within(int field, FieldWriter message) {
    byte[] body = message.done();
    return write(() -> out.writeByteArray(field, body));
  }

  /** Returns the encoded bytes of all fields written so far. */
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
