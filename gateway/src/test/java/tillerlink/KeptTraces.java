package tillerlink;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The kept traces, which stand among the tests' resources. */
final class KeptTraces {
  private KeptTraces() {}

  /**
   * Compares any print with a kept trace; with {@code -Dkeep=folder} writes it there for people to
   * read and keep.
   */
  static void assertMatches(String kept, String printed) {
    String folder = System.getProperty("keep");
    try (InputStream in = KeptTraces.class.getResourceAsStream("/traces/" + kept + ".txt")) {
      String wanted =
          in == null ? "(no kept trace)" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
      if (folder != null) {
        Files.writeString(Path.of(folder, kept + ".txt"), printed);
      }
      assertEquals(wanted, printed);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
