import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each thing that was sent, answered or run, with its time. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the milliseconds since the start of the run. */
  double now() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /** Writes a line and returns its time. */
  synchronized double line(String text) {
    double at = now();
    out.printf(Locale.ROOT, "%10.1f %s%n", at, text);
    return at;
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
