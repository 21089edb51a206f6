package tillerlink.trace;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.zip.GZIPInputStream;

/**
 * One file of a trace, or standard input. Files compressed with gzip are decompressed.
 *
 * @param name the name in reports
 * @param path the file, or null for standard input
 */
public record Shard(String name, Path path) {
  private static final int BUFFER_BYTES = 65_536;
  private static final int GZIP_FIRST_BYTE = 0x1f;
  private static final int GZIP_SECOND_BYTE = 0x8b;
  static final long UNKNOWN = -1;

  public static final Shard STANDARD_INPUT = new Shard("-", null);

  /** Returns the shard of a file. */
  public static Shard of(Path path) {
    Path file = path.getFileName();
    return new Shard(file == null ? path.toString() : file.toString(), path);
  }

  /** Returns whether the shard can be read more than once, which standard input cannot. */
  public boolean readableAgain() {
    return path != null;
  }

  /**
   * An open shard.
   *
   * @param in the decompressed stream
   * @param bytes the expected length of the stream, or {@link #UNKNOWN}
   */
  record Opened(InputStream in, long bytes) {}

  /**
   * Opens the file.
   *
   * @throws IOException if the file cannot be opened; later errors occur when the stream is read
   */
  Opened open() throws IOException {
    InputStream raw = path == null ? System.in : Files.newInputStream(path);
    BufferedInputStream in = new BufferedInputStream(raw, BUFFER_BYTES);
    in.mark(2);
    int first = in.read();
    int second = in.read();
    in.reset();
    if (first == GZIP_FIRST_BYTE && second == GZIP_SECOND_BYTE) {
      return new Opened(new GZIPInputStream(in, BUFFER_BYTES), UNKNOWN);
    }
    return new Opened(in, path == null ? UNKNOWN : Files.size(path));
  }
}
