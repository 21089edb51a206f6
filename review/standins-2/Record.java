package review2;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, a line each, with milliseconds since the start. */
public final class Record implements AutoCloseable {
  private final BufferedWriter out;
  private final long startNanos = System.nanoTime();

  public Record(Path file) throws IOException {
    out = Files.newBufferedWriter(file, StandardCharsets.UTF_8);
  }

  /** Returns the milliseconds since the start. */
  public long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  public synchronized void line(String text) {
    try {
      out.write(String.format("%7d %s%n", now(), text));
      out.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public synchronized void close() throws IOException {
    out.close();
  }
}
