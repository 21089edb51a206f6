package tillerlink.messages;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Writes numbered fields in protobuf's wire format. What is zero or empty is left out, and reads as
 * such. A number, once given to a field, is never given to another: that is how a later release is
 * read by an earlier one.
 */
public final class FieldWriter {
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final CodedOutputStream out = CodedOutputStream.newInstance(bytes, 256);

  public FieldWriter number(int field, long value) {
    return value == 0 ? this : write(() -> out.writeUInt64(field, value));
  }

  /** For numbers that may be negative. */
  public FieldWriter signed(int field, long value) {
    return value == 0 ? this : write(() -> out.writeSInt64(field, value));
  }

  /** For numbers whose bits are all alike, as of hashes. */
  public FieldWriter fixed(int field, long value) {
    return value == 0 ? this : write(() -> out.writeFixed64(field, value));
  }

  public FieldWriter flag(int field, boolean value) {
    return value ? write(() -> out.writeBool(field, true)) : this;
  }

  public FieldWriter text(int field, String value) {
    return value.isEmpty() ? this : write(() -> out.writeString(field, value));
  }

  public FieldWriter bytes(int field, byte[] value) {
    return value.length == 0 ? this : write(() -> out.writeByteArray(field, value));
  }

  /** A message within; written also if it is empty, so that lists keep their length. */
  public FieldWriter within(int field, FieldWriter message) {
    byte[] body = message.done();
    return write(() -> out.writeByteArray(field, body));
  }

  public byte[] done() {
    write(out::flush);
    return bytes.toByteArray();
  }

  private interface Step {
    void run() throws IOException;
  }

  private FieldWriter write(Step step) {
    try {
      step.run();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return this;
  }
}
