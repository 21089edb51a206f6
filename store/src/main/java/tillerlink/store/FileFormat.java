package tillerlink.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * How the store's files look. Each begins with a head: what it is, the version of the format, whose
 * store it is, and a number; records follow, each with its length and a checksum. All numbers are
 * big-endian.
 */
final class FileFormat {
  static final int VERSION = 1;
  static final int HEAD = 32;
  static final int RECORD_HEAD = 17;
  static final int KEY_MOST = 1024;
  static final int VALUE_MOST = 1 << 20;
  static final String LOG = "log-";
  static final String SNAPSHOT = "snap-";
  static final String DRAFT = "draft-";
  static final String ASIDE = "aside-";
  private static final int LOG_MAGIC = 0x544c4c47;
  private static final int SNAPSHOT_MAGIC = 0x544c534e;

  /** What a record does to the table; one that ends a snapshot says how many came before it. */
  enum Kind {
    PUT,
    REMOVE,
    END
  }

  /** The head of a file. */
  record Head(boolean snapshot, int version, long store, long number) {}

  /** One record; {@code size} is how many bytes it takes. */
  record Entry(Kind kind, long sequence, String key, byte[] value, int size) {}

  private FileFormat() {}

  static String name(String prefix, long number) {
    return prefix + String.format("%016x", number);
  }

  /** The number in a name with that prefix, or -1 if it is none. */
  static long number(String prefix, String name) {
    String digits = name.startsWith(prefix) ? name.substring(prefix.length()) : "";
    return digits.matches("[0-9a-f]{16}") ? Long.parseUnsignedLong(digits, 16) : -1;
  }

  private static int sum(byte[] bytes, int from, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, length);
    return (int) crc.getValue();
  }

  static byte[] head(Head head) {
    ByteBuffer out = ByteBuffer.allocate(HEAD);
    out.putInt(head.snapshot ? SNAPSHOT_MAGIC : LOG_MAGIC)
        .putInt(head.version)
        .putLong(head.store)
        .putLong(head.number)
        .putInt(0);
    return out.putInt(sum(out.array(), 0, HEAD - Integer.BYTES)).array();
  }

  /** Null if it is none. */
  static Head head(byte[] file) {
    if (file.length < HEAD) {
      return null;
    }
    ByteBuffer in = ByteBuffer.wrap(file);
    int magic = in.getInt();
    Head head = new Head(magic == SNAPSHOT_MAGIC, in.getInt(), in.getLong(), in.getLong());
    boolean sound =
        ByteBuffer.wrap(file).getInt(HEAD - Integer.BYTES) == sum(file, 0, HEAD - Integer.BYTES);
    return sound && (magic == LOG_MAGIC || magic == SNAPSHOT_MAGIC) ? head : null;
  }

  static byte[] entry(Kind kind, long sequence, String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    if (name.length > KEY_MOST || value.length > VALUE_MOST) {
      throw new IllegalArgumentException(
          "a record too long: " + name.length + " and " + value.length + " bytes");
    }
    int body = 1 + Long.BYTES + Short.BYTES + name.length + value.length;
    ByteBuffer out = ByteBuffer.allocate(2 * Integer.BYTES + body);
    out.putInt(body)
        .putInt(0)
        .put((byte) kind.ordinal())
        .putLong(sequence)
        .putShort((short) name.length)
        .put(name)
        .put(value);
    out.putInt(Integer.BYTES, sum(out.array(), 2 * Integer.BYTES, body));
    return out.array();
  }

  /** The record that begins there, or null if none that is whole and sound does. */
  static Entry entry(byte[] file, int at) {
    int least = 1 + Long.BYTES + Short.BYTES;
    if (file.length - at < 2 * Integer.BYTES + least) {
      return null;
    }
    ByteBuffer in = ByteBuffer.wrap(file);
    int body = in.getInt(at);
    int from = at + 2 * Integer.BYTES;
    if (body < least
        || body > least + KEY_MOST + VALUE_MOST
        || body > file.length - from
        || in.getInt(at + Integer.BYTES) != sum(file, from, body)) {
      return null;
    }
    int kind = file[from];
    int nameLength = in.getShort(from + 1 + Long.BYTES) & 0xffff;
    if (kind < 0 || kind >= Kind.values().length || nameLength > body - least) {
      return null;
    }
    byte[] value = new byte[body - least - nameLength];
    System.arraycopy(file, from + least + nameLength, value, 0, value.length);
    return new Entry(
        Kind.values()[kind],
        in.getLong(from + 1),
        new String(file, from + least, nameLength, StandardCharsets.UTF_8),
        value,
        2 * Integer.BYTES + body);
  }
}
