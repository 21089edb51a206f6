package tillerlink.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The format of the store's files. Each file begins with a header of {@value #HEADER_BYTES} bytes
 * (magic number, version of the format, owner, file number, checksum); records follow, each with
 * its length and a CRC-32C checksum. All numbers are big-endian.
 */
final class FileFormat {
  static final int VERSION = 1;
  static final int HEADER_BYTES = 32;

  /**
   * Bytes that a record takes beside its key and value: length, checksum, type, sequence, key
   * length.
   */
  static final int RECORD_OVERHEAD_BYTES = 19;

  static final int MAX_KEY_BYTES = 1024;
  static final int MAX_VALUE_BYTES = 1 << 20;

  /** Prefixes of file names; the file's number follows in sixteen hexadecimal digits. */
  static final String SEGMENT_PREFIX = "log-";

  static final String SNAPSHOT_PREFIX = "snap-";
  static final String UNFINISHED_SNAPSHOT_PREFIX = "draft-";

  /** Put before the whole name of a file that recovery could not use. */
  static final String QUARANTINE_PREFIX = "aside-";

  private static final int SEGMENT_MAGIC = 0x544c4c47;
  private static final int SNAPSHOT_MAGIC = 0x544c534e;

  /** Length and checksum, which stand before the part that the checksum covers. */
  private static final int FRAME_BYTES = 2 * Integer.BYTES;

  /** Type, sequence and key length. */
  private static final int MIN_BODY_BYTES = 1 + Long.BYTES + Short.BYTES;

  /** What a record does to the table; its code is stored. */
  enum RecordType {
    PUT(0),
    REMOVE(1),
    /** Ends a snapshot; in place of a sequence it holds the number of records before it. */
    SNAPSHOT_END(2);

    private final int code;

    RecordType(int code) {
      this.code = code;
    }

    static Optional<RecordType> ofCode(int code) {
      for (RecordType type : values()) {
        if (type.code == code) {
          return Optional.of(type);
        }
      }
      return Optional.empty();
    }
  }

  /**
   * The header of a file.
   *
   * @param owner see {@link DurableTable}
   * @param number the segment's number, or the sequence as of which the snapshot was taken
   */
  record Header(boolean snapshot, int version, long owner, long number) {}

  /**
   * One record as it was read.
   *
   * @param bytes how many bytes it takes in the file
   */
  record LogRecord(RecordType type, long sequence, String key, byte[] value, int bytes) {}

  private FileFormat() {}

  static String fileName(String prefix, long number) {
    return prefix + String.format("%016x", number);
  }

  /** The number in a file name with that prefix, or -1 if the name has another form. */
  static long fileNumber(String prefix, String name) {
    String digits = name.startsWith(prefix) ? name.substring(prefix.length()) : "";
    return digits.matches("[0-9a-f]{16}") ? Long.parseUnsignedLong(digits, 16) : -1;
  }

  private static int checksum(byte[] bytes, int from, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, length);
    return (int) crc.getValue();
  }

  static byte[] encodeHeader(Header header) {
    ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES);
    out.putInt(header.snapshot ? SNAPSHOT_MAGIC : SEGMENT_MAGIC)
        .putInt(header.version)
        .putLong(header.owner)
        .putLong(header.number)
        .putInt(0);
    return out.putInt(checksum(out.array(), 0, HEADER_BYTES - Integer.BYTES)).array();
  }

  /** Empty if the file is too short, of another kind, or its header's checksum is wrong. */
  static Optional<Header> decodeHeader(byte[] file) {
    if (file.length < HEADER_BYTES) {
      return Optional.empty();
    }
    ByteBuffer in = ByteBuffer.wrap(file);
    int magic = in.getInt();
    Header header = new Header(magic == SNAPSHOT_MAGIC, in.getInt(), in.getLong(), in.getLong());
    int stored = in.getInt(HEADER_BYTES - Integer.BYTES);
    boolean intact = stored == checksum(file, 0, HEADER_BYTES - Integer.BYTES);
    boolean ours = magic == SEGMENT_MAGIC || magic == SNAPSHOT_MAGIC;
    return intact && ours ? Optional.of(header) : Optional.empty();
  }

  /**
   * @throws IllegalArgumentException if the key or the value is longer than the format allows
   */
  static byte[] encodeRecord(RecordType type, long sequence, String key, byte[] value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    if (keyBytes.length > MAX_KEY_BYTES || value.length > MAX_VALUE_BYTES) {
      throw new IllegalArgumentException(
          "record exceeds the limits of the format: key "
              + keyBytes.length
              + " of at most "
              + MAX_KEY_BYTES
              + " bytes, value "
              + value.length
              + " of at most "
              + MAX_VALUE_BYTES
              + " bytes");
    }
    int body = MIN_BODY_BYTES + keyBytes.length + value.length;
    ByteBuffer out = ByteBuffer.allocate(FRAME_BYTES + body);
    out.putInt(body)
        .putInt(0)
        .put((byte) type.code)
        .putLong(sequence)
        .putShort((short) keyBytes.length)
        .put(keyBytes)
        .put(value);
    out.putInt(Integer.BYTES, checksum(out.array(), FRAME_BYTES, body));
    return out.array();
  }

  /**
   * The record that begins at the offset; empty at the end of the file and if it is torn or
   * corrupt.
   */
  static Optional<LogRecord> decodeRecord(byte[] file, int offset) {
    if (file.length - offset < FRAME_BYTES + MIN_BODY_BYTES) {
      return Optional.empty();
    }
    ByteBuffer in = ByteBuffer.wrap(file);
    int body = in.getInt(offset);
    int from = offset + FRAME_BYTES;
    boolean possible =
        body >= MIN_BODY_BYTES
            && body <= MIN_BODY_BYTES + MAX_KEY_BYTES + MAX_VALUE_BYTES
            && body <= file.length - from;
    if (!possible || in.getInt(offset + Integer.BYTES) != checksum(file, from, body)) {
      return Optional.empty();
    }
    int keyLength = in.getShort(from + 1 + Long.BYTES) & 0xffff;
    if (keyLength > body - MIN_BODY_BYTES) {
      return Optional.empty();
    }
    byte[] value = new byte[body - MIN_BODY_BYTES - keyLength];
    System.arraycopy(file, from + MIN_BODY_BYTES + keyLength, value, 0, value.length);
    String key = new String(file, from + MIN_BODY_BYTES, keyLength, StandardCharsets.UTF_8);
    return RecordType.ofCode(file[from])
        .map(type -> new LogRecord(type, in.getLong(from + 1), key, value, FRAME_BYTES + body));
  }
}
