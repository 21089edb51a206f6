package tillerlink.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The format of the store's files. Each file begins with a header of {@value #HEADER_BYTES} bytes:
 * magic number, format version, owner, file number, four zero bytes and a CRC-32C checksum. Records
 * follow, each with its length and a CRC-32C checksum. All numbers are big-endian.
 */
final class FileFormat {
  static final int VERSION = 1;
  static final int HEADER_BYTES = 32;

  /**
   * The number of bytes of a record beside its key and value: length, checksum, type, sequence and
   * key length.
   */
  static final int RECORD_OVERHEAD_BYTES = 19;

  static final int MAX_KEY_BYTES = 1024;
  static final int MAX_VALUE_BYTES = 1 << 20;

  /**
   * The prefix of a segment's file name. The file's number follows the prefix in sixteen
   * hexadecimal digits, as it does in the names of snapshots.
   */
  static final String SEGMENT_PREFIX = "log-";

  static final String SNAPSHOT_PREFIX = "snap-";
  static final String UNFINISHED_SNAPSHOT_PREFIX = "draft-";

  /** The prefix that recovery adds to the whole name of a file that it could not use. */
  static final String QUARANTINE_PREFIX = "aside-";

  private static final int SEGMENT_MAGIC = 0x544c4c47;
  private static final int SNAPSHOT_MAGIC = 0x544c534e;

  /** The bytes of a record's length and checksum. The checksum covers the body that follows. */
  private static final int FRAME_BYTES = 2 * Integer.BYTES;

  /** The bytes of a body's type, sequence and key length, without its key and value. */
  private static final int MIN_BODY_BYTES = 1 + Long.BYTES + Short.BYTES;

  /** The kind of a record. Its code is stored in the file. */
  enum RecordType {
    PUT(0),
    REMOVE(1),
    /**
     * Marks the end of a snapshot. Its sequence field contains the number of records before it, so
     * that recovery detects an incomplete snapshot.
     */
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
   * @param snapshot whether the file is a snapshot; otherwise it is a log segment
   * @param version the format version
   * @param owner the identifier of the store's owner, see {@link DurableTable}
   * @param number the number of the segment, or the sequence of the last change in the snapshot
   */
  record Header(boolean snapshot, int version, long owner, long number) {}

  /**
   * A record decoded from a file.
   *
   * @param type the kind of the record
   * @param sequence the sequence of the change; in a snapshot, the sequence of the last change
   *     included, or the number of records for {@link RecordType#SNAPSHOT_END}
   * @param key the key; empty for {@link RecordType#SNAPSHOT_END}
   * @param value the value; empty unless the type is {@link RecordType#PUT}
   * @param bytes the length of the encoded record in the file, in bytes
   */
  record LogRecord(RecordType type, long sequence, String key, byte[] value, int bytes) {}

  private FileFormat() {}

  static String fileName(String prefix, long number) {
    return prefix + String.format("%016x", number);
  }

  /** Returns the number in a file name with the given prefix, or -1 if the name does not match. */
  static long fileNumber(String prefix, String name) {
    String digits = name.startsWith(prefix) ? name.substring(prefix.length()) : "";
    return digits.matches("[0-9a-f]{16}") ? Long.parseUnsignedLong(digits, 16) : -1;
  }

  private static int checksum(byte[] bytes, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, offset, length);
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

  /**
   * Decodes the header at the start of a file.
   *
   * @return the header; empty if the file is too short, the magic number is unknown or the checksum
   *     does not match
   */
  static Optional<Header> decodeHeader(byte[] file) {
    if (file.length < HEADER_BYTES) {
      return Optional.empty();
    }
    ByteBuffer in = ByteBuffer.wrap(file);
    int magic = in.getInt();
    Header header = new Header(magic == SNAPSHOT_MAGIC, in.getInt(), in.getLong(), in.getLong());
    int stored = in.getInt(HEADER_BYTES - Integer.BYTES);
    boolean intact = stored == checksum(file, 0, HEADER_BYTES - Integer.BYTES);
    boolean knownMagic = magic == SEGMENT_MAGIC || magic == SNAPSHOT_MAGIC;
    return intact && knownMagic ? Optional.of(header) : Optional.empty();
  }

  /**
   * Encodes a record with its length and checksum.
   *
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
    int bodyBytes = MIN_BODY_BYTES + keyBytes.length + value.length;
    ByteBuffer out = ByteBuffer.allocate(FRAME_BYTES + bodyBytes);
    out.putInt(bodyBytes)
        .putInt(0)
        .put((byte) type.code)
        .putLong(sequence)
        .putShort((short) keyBytes.length)
        .put(keyBytes)
        .put(value);
    out.putInt(Integer.BYTES, checksum(out.array(), FRAME_BYTES, bodyBytes));
    return out.array();
  }

  /**
   * Decodes the record that begins at the offset.
   *
   * @return the record; empty at the end of the file, or if the record is incomplete or corrupt
   */
  static Optional<LogRecord> decodeRecord(byte[] file, int offset) {
    if (file.length - offset < FRAME_BYTES + MIN_BODY_BYTES) {
      return Optional.empty();
    }
    ByteBuffer in = ByteBuffer.wrap(file);
    int bodyBytes = in.getInt(offset);
    int bodyStart = offset + FRAME_BYTES;
    boolean plausible =
        bodyBytes >= MIN_BODY_BYTES
            && bodyBytes <= MIN_BODY_BYTES + MAX_KEY_BYTES + MAX_VALUE_BYTES
            && bodyBytes <= file.length - bodyStart;
    if (!plausible || in.getInt(offset + Integer.BYTES) != checksum(file, bodyStart, bodyBytes)) {
      return Optional.empty();
    }
    int keyLength = in.getShort(bodyStart + 1 + Long.BYTES) & 0xffff;
    if (keyLength > bodyBytes - MIN_BODY_BYTES) {
      return Optional.empty();
    }
    byte[] value = new byte[bodyBytes - MIN_BODY_BYTES - keyLength];
    System.arraycopy(file, bodyStart + MIN_BODY_BYTES + keyLength, value, 0, value.length);
    String key = new String(file, bodyStart + MIN_BODY_BYTES, keyLength, StandardCharsets.UTF_8);
    return RecordType.ofCode(file[bodyStart])
        .map(
            type ->
                new LogRecord(
                    type, in.getLong(bodyStart + 1), key, value, FRAME_BYTES + bodyBytes));
  }
}
