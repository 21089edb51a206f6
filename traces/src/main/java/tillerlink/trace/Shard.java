package tillerlink.trace;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.zip.GZIPInputStream;

/** One file of a trace, or standard input; unpacked if it is compressed. */
public record Shard(String name, Path path) {
  private static final int BUFFER = 65_536;
  private static final int GZIP_1 = 0x1f;
  private static final int GZIP_2 = 0x8b;
  static final long UNKNOWN = -1;

  public static final Shard STANDARD_INPUT = new Shard("-", null);

  public static Shard of(Path path) {
    Path file = path.getFileName();
    return new Shard(file == null ? path.toString() : file.toString(), path);
  }

  public boolean readableAgain() {
    return path != null;
  }

  /** How many bytes it should have, as far as that can be known beforehand. */
  record Opened(InputStream in, long bytes) {}

  /**
   * @throws IOException if it can't be opened; a fault further on is one of reading
   */
  Opened open() throws IOException {
    InputStream raw = path == null ? System.in : Files.newInputStream(path);
    BufferedInputStream in = new BufferedInputStream(raw, BUFFER);
    in.mark(2);
    int first = in.read();
    int second = in.read();
    in.reset();
    if (first == GZIP_1 && second == GZIP_2) {
      return new Opened(new GZIPInputStream(in, BUFFER), UNKNOWN);
    }
    return new Opened(in, path == null ? UNKNOWN : Files.size(path));
  }
}
