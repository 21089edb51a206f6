package tillerlink.trace;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.zip.GZIPInputStream;

/** One file of a trace, or standard input; decompressed if it is gzipped. */
public record Shard(String name, Path path) {
  private static final int BUFFER = 65_536;
  private static final int GZIP_FIRST_BYTE = 0x1f;
  private static final int GZIP_SECOND_BYTE = 0x8b;
  static final long UNKNOWN = -1;

  public static final Shard STANDARD_INPUT = new Shard("-", null);

  /** The shard of a file. */
  public static Shard of(Path path) {
    Path file = path.getFileName();
    return new Shard(file == null ? path.toString() : file.toString(), path);
  }

  /** Whether it can be read more than once. */
  public boolean readableAgain() {
    return path != null;
  }

  /** The open stream, and how many bytes it should have if that is known. */
  record Opened(InputStream in, long bytes) {}

  /**
   * Opens the file.
   *
   * @throws IOException if it can't be opened; a fault further on is one of reading
   */
  Opened open() throws IOException {
    InputStream raw = path == null ? System.in : Files.newInputStream(path);
    BufferedInputStream in = new BufferedInputStream(raw, BUFFER);
    in.mark(2);
    int first = in.read();
    int second = in.read();
    in.reset();
    if (first == GZIP_FIRST_BYTE && second == GZIP_SECOND_BYTE) {
      return new Opened(new GZIPInputStream(in, BUFFER), UNKNOWN);
    }
    return new Opened(in, path == null ? UNKNOWN : Files.size(path));
  }
}
